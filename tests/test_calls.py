"""One connection to an endpoint, with a link and a clock that are stand-ins."""

import pytest

from birchstack.net.calls import Call, Line


class Link:
    """unsent: whether bytes still wait to be handed to the network."""

    def __init__(self, unsent=False, gone=False):
        self.unsent, self.closed, self.gone, self.written = unsent, False, gone, b""

    def write(self, data):
        self.written += data

    def abort(self):
        self.closed = True

    def told(self):
        return 0.0, self.gone


class Timer:
    def cancel(self):
        pass


class Desk:
    """What a line asks of the calls it belongs to."""

    dial_ms, idle_ms, loop = 200.0, 1000.0, None

    def __init__(self):
        self.ends, self.ok, self.dropped, self.timers = [], [], [], []

    def later(self, ms, what):
        self.timers.append(ms)
        return Timer()

    def delivered(self, call):
        self.ok.append(call.doc)

    def ended(self, line, call, keep, how):
        self.ends.append((how[0], keep))

    def drop(self, line):
        self.dropped.append(line)


def line_with(link, desk):
    line = Line(desk, "s-1", ("127.0.0.1", 1))
    line.opened(link)
    line.begin(Call("d", 0, "s-1", b"body", 500.0))
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


@pytest.mark.parametrize("text, ends, ok", [
    (b"HTTP/1.1 200 OK\r\nServer-", ("ok", False), ["d"]), (b"HTTP/1.1 500 No\r\nX", ("reset", False), []),
    (b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhal", ("ok", False), ["d"]), (b"", ("reset", False), []),
    (b"HTTP/1.1 503 No\r\nContent-Length: 9\r\n\r\nhal", ("full", False), [])])
def test_an_answer_that_breaks_off(text, ends, ok):
    desk = Desk()
    line = line_with(Link(), desk)
    line.received(memoryview(text))
    line.lost()
    assert desk.ends == [ends] and desk.ok == ok


@pytest.mark.parametrize("text, keep", [
    (b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab", True),
    (b"HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n", True),
    (b"HTTP/1.1 504 No\r\nContent-Length: 0\r\n\r\n", False),     # the decisions count it as gone
    (b"HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 0\r\n\r\n", False),
    (b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\nHTTP/1.1 2", False)])
def test_a_connection_is_kept_only_if_it_can_be_used_and_is_counted_on(text, keep):
    desk = Desk()
    line = line_with(Link(), desk)
    line.received(memoryview(text))
    assert len(desk.ends) == 1 and desk.ends[0][1] is keep


def test_an_idle_connection_rests_for_less_than_the_endpoints_own_time_and_is_dropped_at_its_end():
    desk = Desk()
    line = line_with(Link(), desk)
    line.received(memoryview(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"))
    line.rests()
    assert desk.timers[-1] < desk.idle_ms
    line.received(memoryview(b"HTTP/1.1 408 Late\r\n"))
    assert desk.dropped == [line] and len(desk.ends) == 1


@pytest.mark.parametrize("gone", [False, True])
def test_a_connection_that_its_endpoint_closed_is_known_as_stale_before_its_end_is_read(gone):
    assert line_with(Link(gone=gone), Desk()).stale() is gone
