"""One connection to an endpoint, with a link and a clock that are stand-ins."""

import pytest

from birchstack.net.calls import Call, Line


class Link:
    """unsent: whether bytes still wait to be handed to the network."""

    def __init__(self, unsent=False, gone=False):
        self.unsent, self.closed, self.gone, self.written, self.waiting = unsent, False, gone, b"", 0

    def write(self, data):
        self.written += data
        return True  # the kernel took it

    def abort(self):
        self.closed = True

    def told(self):
        return 0.0, self.gone

    def unread(self):
        return self.waiting


class Timer:
    def cancel(self):
        pass


class Desk:
    """What a line asks of the calls it belongs to."""

    dial_ms, idle_ms, loop, transmitted = 200.0, 1000.0, None, 0

    def __init__(self):
        self.ends, self.ok, self.dropped, self.timers = [], [], [], []

    def later(self, ms, what, *words):
        self.timers.append(ms)
        return Timer()

    def since(self, moment):
        return 0.0

    def count_malformed(self, endpoint, problem):
        self.malformed = problem

    def delivered(self, call):
        self.ok.append(call.doc)

    def ended(self, line, call, keep, how):
        self.ends.append((how[0], keep))

    def discard(self, line):
        self.dropped.append(line)


def line_with(link, desk):
    line = Line(desk, "s-1", ("127.0.0.1", 1))
    line.opened(link)
    line.begin(Call("d", 0, "s-1", b"body", 500.0))
    line.write()
    return line


@pytest.mark.parametrize("unsent, kind", [(True, "connect_failed"), (False, "reset")])
def test_broken_before_or_after_the_last_byte_was_written(unsent, kind):
    desk = Desk()
    line_with(Link(unsent), desk).lost()
    assert desk.ends == [(kind, False)]


@pytest.mark.parametrize("unsent, kind", [(True, "connect_failed"), (False, "timeout")])
def test_patience_over_before_or_after_the_last_byte_was_written(unsent, kind):
    desk = Desk()
    line_with(Link(unsent), desk)._timed_out()
    assert desk.ends == [(kind, False)]


@pytest.mark.parametrize(
    "text, ends, ok",
    [
        (b"HTTP/1.1 200 OK\r\nServer-", ("ok", False), ["d"]),
        (b"HTTP/1.1 500 No\r\nX", ("reset", False), []),
        (b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhal", ("ok", False), ["d"]),
        (b"", ("reset", False), []),
        (b"HTTP/1.1 503 No\r\nContent-Length: 9\r\n\r\nhal", ("reset", False), []),
        (b"HTTP/1.1 503 No\r\n\r\nto the end", ("full", False), []),
    ],
)
def test_an_answer_that_breaks_off(text, ends, ok):
    desk = Desk()
    line = line_with(Link(), desk)
    line.received(memoryview(text))
    line.lost()
    assert desk.ends == [ends] and desk.ok == ok


@pytest.mark.parametrize(
    "text, ends, ok",
    [
        (b"\x90\x14noise", "error", []),
        (b"HTTP/1.1 503 No\r\nno colon\r\n\r\n", "error", []),
        (b"HTTP/1.1 429 No\r\nContent-Length: -4\r\n\r\n", "error", []),
        (b"HTTP/1.1 410 No\r\nContent-Length: 3000000000\r\n\r\nxxx", "error", []),
        (b"HTTP/1.1 500 No\r\nX: " + b"y" * 20000, "error", []),
        (b"HTTP/1.1 200 OK\r\nno colon\r\n\r\n", "ok", ["d"]),
        (b"HTTP/1.1 200 OK\r\nX: " + b"y" * 20000, "ok", ["d"]),
        (b"HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\nxxx", "ok", ["d"]),
        (b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\nContent-Length: 9\r\n\r\nabcd", "ok", ["d"]),
        (b"HTTP/1.1 100 On\r\n\r\nHTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n", "ok", ["d"]),
    ],
)
def test_a_spoilt_answer_may_have_run_unless_its_first_line_says_200_and_its_connection_ends(text, ends, ok):
    desk = Desk()
    line_with(Link(), desk).received(memoryview(text))
    assert desk.ends == [(ends, False)] and desk.ok == ok


@pytest.mark.parametrize(
    "text, ends",
    [(b"HTTP/1.1 200 OK\r\nContent-Le", "ok"), (b"HTTP/1.1 503 No\r\nContent-Length: 9\r\n\r\nab", "error")],
)
def test_an_answer_that_began_and_is_not_whole_in_time_is_spoilt_long_before_patience_is_over(text, ends):
    desk = Desk()
    line = line_with(Link(), desk)
    line._call.patience_ms = 9000.0
    line.received(memoryview(text))
    assert desk.timers[-1] <= 500.0 and not desk.ends
    line._malformed("not whole in time")
    assert desk.ends == [(ends, False)]


@pytest.mark.parametrize(
    "text, keep",
    [
        (b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab", True),
        (b"HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n", True),
        (b"HTTP/1.1 504 No\r\nContent-Length: 0\r\n\r\n", False),  # the decisions count it as gone
        (b"HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 0\r\n\r\n", False),
        (b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\nHTTP/1.1 2", False),
        (b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n\x90noise\r\n\r\n", False),
    ],
)
def test_a_connection_is_kept_only_if_it_can_be_used_and_is_counted_on(text, keep):
    desk = Desk()
    line = line_with(Link(), desk)
    line.received(memoryview(text))
    assert len(desk.ends) == 1 and desk.ends[0][1] is keep


def test_an_idle_connection_rests_for_less_than_the_endpoints_own_time_and_is_dropped_at_its_end():
    desk = Desk()
    line = line_with(Link(), desk)
    line.received(memoryview(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"))
    line.start_idle()
    assert desk.timers[-1] < desk.idle_ms
    line.received(memoryview(b"HTTP/1.1 408 Late\r\n"))
    assert desk.dropped == [line] and len(desk.ends) == 1


@pytest.mark.parametrize("gone, waiting", [(False, 0), (True, 0), (False, 7)])
def test_a_connection_that_ended_or_said_more_is_known_as_stale_before_that_is_read(gone, waiting):
    link = Link(gone=gone)
    link.waiting = waiting
    assert line_with(link, Desk()).stale() is (gone or waiting > 0)
