"""One connection to an endpoint, with a fake link and a fake clock."""

import pytest

from birchstack.net.call_log import CallLog
from birchstack.net.calls import Call, Calls, EndpointConnection
from birchstack.net.reuse import DISTRUST_MS, SETTLE_MS


class Link:
    """unsent: whether written bytes still wait to be taken by the kernel."""

    def __init__(self, unsent=False, gone=False):
        self.unsent = unsent
        self.closed = False
        self.gone = gone
        self.written = b""
        self.waiting = 0

    def write(self, data):
        self.written += data
        return True  # the kernel took it

    def abort(self):
        self.closed = True

    def receive_state(self):
        return 0.0, self.gone

    def unread_bytes(self):
        return self.waiting


class Timer:
    def cancel(self):
        pass


class FakeCalls:
    """What a connection uses of calls.Calls."""

    dial_ms, idle_ms, loop, transmitted = 200.0, 1000.0, None, 0

    def __init__(self):
        self.log = CallLog()
        self.connection_numbers = iter(range(9))
        self.ends = []
        self.ok = []
        self.dropped = []
        self.distrusted = []
        self.timers = []

    def call_later(self, ms, what, *words):
        self.timers.append(ms)
        return Timer()

    def now(self):
        return 0.0

    def elapsed_since(self, moment):
        return 0.0

    def on_delivered(self, call):
        self.ok.append(call.doc_id)

    def call_ended(self, connection, call, keep, how):
        self.ends.append((how[0], keep))

    def distrust(self, endpoint):
        self.distrusted.append(endpoint)

    def discard(self, connection, reason):
        self.dropped.append(connection)


def connection_with(link, calls):
    connection = EndpointConnection(calls, "s-1", ("127.0.0.1", 1))
    connection.opened(link)
    connection.begin(Call("d", 0, "s-1", b"body", 500.0))
    connection.write()
    return connection


@pytest.mark.parametrize("unsent, kind", [(True, "connect_failed"), (False, "reset")])
def test_a_connection_lost_before_or_after_the_last_byte_was_sent(unsent, kind):
    calls = FakeCalls()
    connection_with(Link(unsent), calls).lost()
    assert calls.ends == [(kind, False)]


@pytest.mark.parametrize("unsent, kind", [(True, "connect_failed"), (False, "timeout")])
def test_a_time_out_before_or_after_the_last_byte_was_sent(unsent, kind):
    calls = FakeCalls()
    connection_with(Link(unsent), calls)._timed_out()
    assert calls.ends == [(kind, False)]


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
def test_an_answer_cut_off_by_the_end_of_the_connection(text, ends, ok):
    calls = FakeCalls()
    connection = connection_with(Link(), calls)
    connection.received(memoryview(text))
    connection.lost()
    assert calls.ends == [ends] and calls.ok == ok


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
def test_a_malformed_answer_is_an_error_unless_its_status_is_200_and_closes_the_connection(text, ends, ok):
    calls = FakeCalls()
    connection_with(Link(), calls).received(memoryview(text))
    assert calls.ends == [(ends, False)] and calls.ok == ok


@pytest.mark.parametrize(
    "text, ends",
    [(b"HTTP/1.1 200 OK\r\nContent-Le", "ok"), (b"HTTP/1.1 503 No\r\nContent-Length: 9\r\n\r\nab", "error")],
)
def test_an_answer_incomplete_long_after_its_status_line_is_malformed_before_the_time_out(text, ends):
    calls = FakeCalls()
    connection = connection_with(Link(), calls)
    connection._call.timeout_ms = 9000.0
    connection.received(memoryview(text))
    assert calls.timers[-1] <= 500.0 and not calls.ends
    connection._malformed("not whole in time")
    assert calls.ends == [(ends, False)]


@pytest.mark.parametrize(
    "text, keep",
    [
        (b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab", True),
        (b"HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n", True),
        (b"HTTP/1.1 504 No\r\nContent-Length: 0\r\n\r\n", False),  # the decision logic counts it as closed
        (b"HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 0\r\n\r\n", False),
        (b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\nHTTP/1.1 2", False),
        (b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n\x90noise\r\n\r\n", False),
    ],
)
def test_a_connection_is_kept_only_if_it_can_be_reused_and_the_outcome_allows_it(text, keep):
    calls = FakeCalls()
    connection = connection_with(Link(), calls)
    connection.received(memoryview(text))
    assert len(calls.ends) == 1 and calls.ends[0][1] is keep


def test_an_idle_connection_is_closed_before_the_endpoints_idle_time_out():
    calls = FakeCalls()
    connection = connection_with(Link(), calls)
    connection.received(memoryview(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"))
    connection.start_idle()
    assert calls.timers[-1] < calls.idle_ms
    connection.received(memoryview(b"HTTP/1.1 408 Late\r\n"))
    assert calls.dropped == [connection] and len(calls.ends) == 1


@pytest.mark.parametrize("gone, waiting", [(False, 0), (True, 0), (False, 7)])
def test_a_connection_with_an_unread_end_or_unread_bytes_is_stale(gone, waiting):
    link = Link(gone=gone)
    link.waiting = waiting
    assert connection_with(link, FakeCalls()).stale() is (gone or waiting > 0)


# Reuse of connections (net/reuse.py)

ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"


class Pool:
    """Calls with fake links and a clock moved by hand; one answered call for each connection."""

    def __init__(self, *endpoints):
        self.now = 0.0
        self.calls = Calls(None, lambda: self.now, 9e9, 200.0, 9, *[lambda *words: None] * 3)
        self.calls.call_later = lambda *words: Timer()
        self.connections = [self._answered(endpoint) for endpoint in endpoints]

    def _answered(self, endpoint):
        self.calls.addresses[endpoint] = ("127.0.0.1", 1)
        connection = EndpointConnection(self.calls, endpoint, ("127.0.0.1", 1))
        connection.opened(Link())
        call = Call(f"d{len(self.calls._idle)}", 0, endpoint, b"body", 500.0)
        self.calls._busy[call.doc_id] = connection
        connection.begin(call)
        connection.write()
        connection.received(memoryview(ANSWER))
        return connection

    def take(self, endpoint):
        return self.calls._take_idle(endpoint)


def test_a_connection_carries_no_call_until_it_has_settled_and_is_replaced_before():
    pool = Pool("s-1", "s-2")
    pool.now = SETTLE_MS - 1.0
    assert pool.take("s-1") is None and pool.connections[0]._link.closed
    assert not pool.connections[1]._link.closed
    pool.now = SETTLE_MS
    assert pool.take("s-2") is pool.connections[1]


def test_bytes_that_answer_no_call_end_the_reuse_of_connections_to_their_endpoint():
    pool = Pool("s-1", "s-1", "s-2")
    pool.connections[0].received(memoryview(ANSWER))
    assert [each._link.closed for each in pool.connections] == [True, True, False]
    assert pool._answered("s-1")._link.closed and not pool._answered("s-2")._link.closed
    pool.now = DISTRUST_MS
    assert not pool._answered("s-1")._link.closed


def test_unread_bytes_on_one_of_several_idle_connections_spoil_no_other_call():
    pool = Pool("s-1", "s-1", "s-2")
    pool.now = SETTLE_MS
    pool.connections[1]._link.waiting = 7  # the newest of its endpoint, which is looked at first
    assert pool.take("s-1") is None
    assert [each._link.closed for each in pool.connections] == [True, True, False]
    assert pool.take("s-2") is pool.connections[2]


def test_bytes_that_answer_no_call_from_two_endpoints_end_all_reuse():
    pool = Pool("s-1", "s-2", "s-3")
    pool.connections[0].received(memoryview(ANSWER))
    pool.connections[1].received(memoryview(ANSWER))
    assert all(each._link.closed for each in pool.connections)
    assert pool._answered("s-3")._link.closed
    pool.now = DISTRUST_MS
    assert not pool._answered("s-3")._link.closed
