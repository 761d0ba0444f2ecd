"""The HTTP/1.1 parsers and encoders, fed whole messages and pieces of them."""

import contextlib

import pytest

from birchstack.net import http1

HEAD = b"POST /sync HTTP/1.1\r\nHost: a\r\n"


def read(reader, data, step):
    events = []
    for at in range(0, len(data), step):
        events += [*reader.feed(data[at : at + step])]
    heads = [each for each in events if isinstance(each, http1.Request | http1.Response)]
    return heads, b"".join(each for each in events if isinstance(each, bytes)), events.count(http1.END)


@pytest.mark.parametrize("step", [1, 2, 7, 10000])
@pytest.mark.parametrize(
    "text, body",
    [
        (HEAD + b"Content-Length: 5\r\n\r\n\0\r\n\r\xff", b"\0\r\n\r\xff"),
        (HEAD + b"Transfer-Encoding: chunked\r\n\r\n3;x=1\r\nabc\r\n2\r\nde\r\n0\r\nT: 1\r\n\r\n", b"abcde"),
        (HEAD + b"\r\n", b""),
    ],
)
def test_requests_are_parsed_however_they_are_split(step, text, body):
    heads, read_body, ends = read(http1.RequestReader(), text + b"\r\n" + text, step)
    assert (len(heads), read_body, ends) == (2, body * 2, 2)
    assert heads[0].path == "/sync" and heads[0].keep_alive and heads[0].fields["host"] == "a"


@pytest.mark.parametrize(
    "text, status",
    [
        (b"nonsense\r\n\r\n", 400),
        (b"GET / HTTP/2.0\r\nHost: a\r\n\r\n", 400),
        (b"GET / HTTP/1.1\r\n\r\n", 400),
        (b"G(T / HTTP/1.1\r\nHost: a\r\n\r\n", 400),
        (HEAD + b"Bad Name: 1\r\n\r\n", 400),
        (HEAD + b" folded\r\n\r\n", 400),
        (HEAD + b"Content-Length: -1\r\n\r\n", 400),
        (HEAD + b"Content-Length: 1_0\r\n\r\n", 400),
        (HEAD + b"Content-Length: 1\r\nContent-Length: 2\r\n\r\n", 400),
        (HEAD + b"Content-Length: 1\r\nContent-Length: 1\r\n\r\n", 400),
        (HEAD + b"Content-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n", 400),
        (HEAD + b"Transfer-Encoding: gzip\r\nContent-Length: 1\r\n\r\n", 400),
        (HEAD + b"Content-Length: 99999999999999999999\r\n\r\n", 400),
        (HEAD + b"Host: b\r\n\r\n", 400),
        (HEAD.replace(b"\r\n", b"\n") + b"\n", 400),
        (HEAD + b"X: a\nY: b\r\n\r\n", 400),
        (HEAD + b"X: \x01\r\n\r\n", 400),
        (b"\r\n\r\n" + HEAD + b"\r\n", 400),
        (b"\x16\x03\x01", 400),
        (HEAD + b"Transfer-Encoding: chunked\r\n\r\n0\r\n" + b"T: 1\r\n" * 20000, 413),
        (HEAD + b"Transfer-Encoding: gzip\r\n\r\n", 501),
        (HEAD + b"Content-Length: 65537\r\n\r\n", 413),
        (HEAD + b"Transfer-Encoding: chunked\r\n\r\nFFFFFF\r\n", 413),
        (HEAD + b"X: " + b"y" * 20000, 431),
        (HEAD + b"Transfer-Encoding: chunked\r\n\r\nxyz\r\n", 400),
        (HEAD + b"Transfer-Encoding: chunked\r\n\r\n1\r\nabc", 400),
        (HEAD + b"Transfer-Encoding: chunked\r\n\r\n" + b"1" * 5000, 431),
    ],
)
def test_requests_that_are_malformed_or_beyond_a_limit(text, status):
    with pytest.raises(http1.MalformedError) as problem:
        [*http1.RequestReader().feed(text)]
    assert problem.value.status == status


@pytest.mark.parametrize(
    "fields, keep", [("", True), ("Connection: close\r\n", False), ("connection: x, Close\r\n", False)]
)
def test_connections_persist_unless_one_side_says_close(fields, keep):
    heads, _, _ = read(http1.RequestReader(), HEAD + fields.encode() + b"\r\n", 100)
    assert heads[0].keep_alive is keep


@pytest.mark.parametrize(
    "text, status, keep, ends",
    [
        (b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx", 200, True, 1),
        (b"HTTP/1.1 200\r\nContent-Length: 0\r\n\r\n", 200, True, 1),
        (
            b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Hints\r\nL: x\r\n\r\n"
            b"HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n",
            503,
            True,
            1,
        ),
        (b"HTTP/1.1 204 No\r\n\r\n", 204, True, 1),
        (b"HTTP/1.0 200 OK\r\nContent-Length: 0\r\n\r\n", 200, False, 1),
        (b"HTTP/1.1 500 No\r\n\r\nuntil the end", 500, False, 0),
    ],
)
@pytest.mark.parametrize("step", [1, 500])
def test_responses_are_parsed_however_they_are_split(text, status, keep, ends, step):
    reader = http1.ResponseReader()
    heads, _, ended = read(reader, text, step)
    assert (heads[0].status, heads[0].keep_alive, ended) == (status, keep, ends)
    assert reader.complete_at_end() is (ends == 0)


@pytest.mark.parametrize(
    "text",
    [
        b"HTTP/1.1 abc No\r\n\r\n",
        b"HTTP/1.1 2000 OK\r\n\r\n",
        b"SSH-2.0\r\n\r\n",
        b"HTTP/1.1 200 OK\r\n: x\r\n\r\n",
        b"\x16\x03\x01",
        b"HTTP/2",
        b"HTTP/1.1 100 On\r\n\r\n" * 50,
        b"HTTP/1.1 200 OK\r\nX: " + b"y" * 20000,
        b"HTTP/1.1 500 No\r\nContent-Length: 3000000000\r\n\r\n",
    ],
)
def test_malformed_responses(text):
    with pytest.raises(http1.MalformedError):
        [*http1.ResponseReader().feed(text)]


@pytest.mark.parametrize(
    "text, status",
    [
        (b"HTTP/1.1 200 OK\r\nServ", 200),
        (b"HTTP/1.1 200 OK", 0),
        (b"HTTP/1.1 503 No\r\n", 503),
        (b"", 0),
        (b"HTTP/1.1 200 OK\r\nno colon\r\n\r\n", 200),
        (b"HTTP/1.1 200 \x01\r\nContent-Length: -1\r\n\r\n", 200),
        (b"HTTP/1.1 100 Continue\r\n\r\n", 0),
        (b"junk 200\r\n", 0),
        (b"HTTP/1.1 2000 OK\r\n", 0),
    ],
)
def test_a_status_line_counts_before_its_head_is_complete(text, status):
    reader = http1.ResponseReader()
    with contextlib.suppress(http1.MalformedError):
        [*reader.feed(text)]
    assert reader.status == status


def test_a_response_is_returned_before_bytes_after_it_are_parsed():
    events = http1.ResponseReader().feed(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n\0noise")
    assert [next(events).status, next(events)] == [200, http1.END]


def test_encoded_messages_are_parsed_back():
    text = http1.request("POST", "/hook", "h:1", {"Request-Id": "d"}, b"\0body")
    heads, body, ends = read(http1.RequestReader(), text, 3)
    assert (heads[0].fields["request-id"], body, ends) == ("d", b"\0body", 1)
    heads, _, _ = read(http1.ResponseReader(), http1.response(429, {"Retry-After": "1.5"}, close=True), 3)
    assert (heads[0].status, heads[0].fields["retry-after"], heads[0].keep_alive) == (429, "1.5", False)
