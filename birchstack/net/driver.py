"""A thin layer between sockets and the protocol state machines: asyncio's BufferedProtocol, and dialling.

Owns transports and the one buffer that all of them read into. Never looks into the bytes, keeps no time-out
but the one of a closing connection, and does not decide what a broken connection means: its owner is told
(opened, received, lost) and does that.
"""

from __future__ import annotations

import asyncio
import contextlib
import fcntl
import socket
import struct
import termios
from collections.abc import Callable
from typing import Protocol

READ_BUFFER = memoryview(bytearray(65536))  # shared: each read is consumed before the next one
MAX_DISCARDED_BYTES = 262144  # after finish(): a peer that sends more than this is cut off
LINGER_S = 1.0  # the close is delayed: a reset would destroy an answer that the peer has not read yet
PEER_CLOSED_STATES = (7, 8, 9, 10, 11)  # TCP states: close, close-wait, last-ack, listen, closing


class Owner(Protocol):
    """Whoever uses a link. opened comes first, lost last; nothing comes after that."""

    def opened(self, link: Link) -> None:
        """The connection is established."""

    def received(self, data: memoryview) -> None:
        """Bytes have come; they are valid during this call only."""

    def lost(self) -> None:
        """The peer ended the connection, or it broke."""


class SocketInfo:
    """What the kernel knows of a socket.

    A transport over another network than the kernel's supplies its own, by get_extra_info("kernel").
    """

    def __init__(self, sock: socket.socket | None) -> None:
        self._sock = sock

    def unread_bytes(self) -> int:
        """Number of received bytes that were not read yet."""
        try:
            return struct.unpack("i", fcntl.ioctl(self._sock.fileno(), termios.FIONREAD, b"\0\0\0\0"))[0]
        except (OSError, AttributeError, ValueError):  # closed: its descriptor is -1
            return 0

    def receive_state(self) -> tuple[float, bool]:
        """Milliseconds since the last byte came, and whether the peer has closed."""
        try:
            info = self._sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 104)
            return float(struct.unpack_from("=I", info, 52)[0]), info[0] in PEER_CLOSED_STATES
        except (OSError, struct.error, AttributeError, ValueError):
            return 0.0, False


NO_SOCKET_INFO = SocketInfo(None)  # of a link that is not connected yet


class Link(asyncio.BufferedProtocol):
    """One connection.

    unsent: whether written bytes still wait to be taken by the kernel; max_read_bytes: how many bytes are
    read at once. The others wait in the kernel.
    """

    def __init__(self, owner: Owner) -> None:
        self._owner: Owner | None = owner
        self._transport: asyncio.Transport | None = None
        self._socket_info = NO_SOCKET_INFO
        self.unsent = False
        self.max_read_bytes = len(READ_BUFFER)
        self.closed = False
        self._on_closed: Callable[[], None] | None = None
        self._linger_timer: asyncio.TimerHandle | None = None
        self._discarded_bytes = 0

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Sets the connection up, and tells its owner."""
        self._transport = transport
        sock = transport.get_extra_info("socket")
        # asyncio sets TCP_NODELAY on connections that it dials. On accepted ones a small write that is held
        # back would be lost with a close.
        with contextlib.suppress(OSError, AttributeError):
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._socket_info = transport.get_extra_info("kernel") or SocketInfo(sock)
        if self.closed:  # aborted while it was dialled
            transport.abort()
            return
        transport.set_write_buffer_limits(high=0)
        self._owner.opened(self)

    def get_buffer(self, sizehint: int) -> memoryview:
        """Returns the buffer for the next read."""
        return READ_BUFFER[: self.max_read_bytes]

    def buffer_updated(self, count: int) -> None:
        """Passes bytes to the owner; after finish() they are discarded, up to a limit."""
        if not self.closed:
            self._owner.received(READ_BUFFER[:count])
        else:
            self._discarded_bytes += count
            if self._discarded_bytes > MAX_DISCARDED_BYTES:
                self._transport.abort()

    def eof_received(self) -> bool:
        """Counts as lost; asyncio closes the transport."""
        self._lost()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Tells the owner, or whoever called finish(), and lets go of both.

        A connection that has ended is freed at once: a timer or a reference cycle would keep it for a while,
        and clients that connect anew at a high rate would use up the memory."""
        self._lost()
        if self._linger_timer:
            self._linger_timer.cancel()
        on_closed, self._on_closed, self._owner = self._on_closed, None, None
        if on_closed:
            on_closed()

    def _lost(self) -> None:
        if not self.closed:
            self.closed = True
            self._owner.lost()

    def pause_writing(self) -> None:
        """The kernel's send buffer is full."""
        self.unsent = True

    def resume_writing(self) -> None:
        """Everything written was taken by the kernel."""
        self.unsent = False

    def write(self, data: bytes) -> bool:
        """Writes bytes; False if the kernel took none of them, because the connection has ended."""
        if not self.closed:
            self._transport.write(data)
        return not self.closed and not self._transport.is_closing()

    def set_reading_paused(self, paused: bool) -> None:
        """Pauses or resumes reading."""
        if not self.closed:
            (self._transport.pause_reading if paused else self._transport.resume_reading)()

    def finish(self, on_closed: Callable[[], None]) -> None:
        """Ends the sending side once everything is written; received bytes are discarded until the close."""
        if self.closed:
            return
        self.closed = True
        self._on_closed = on_closed
        if self._transport.is_closing():
            return
        self._transport.resume_reading()
        try:
            self._transport.write_eof()
        except OSError:  # the peer has reset the connection, which the event loop has not seen yet
            self._transport.abort()
            return
        self._linger_timer = asyncio.get_running_loop().call_later(LINGER_S, self._transport.abort)

    def abort(self) -> None:
        """Closes the connection at once; the owner is not told."""
        self.closed = True
        if self._transport:
            self._transport.abort()

    def unread_bytes(self) -> int:
        """Number of received bytes that the kernel holds and that were not read yet."""
        return self._socket_info.unread_bytes()

    def receive_state(self) -> tuple[float, bool]:
        """Milliseconds since the last byte came, and whether the peer has closed, as the kernel knows it."""
        return self._socket_info.receive_state()


def parse_address(text: str) -> tuple[str, int]:
    """Parses host:port; raises ValueError if it is not valid."""
    host, colon, port = text.rpartition(":")
    if not colon or not host or not port.isdecimal() or not 0 < int(port) < 65536:
        raise ValueError(f"not an address (host:port): {text!r}")
    return host.strip("[]"), int(port)


class Dial:
    """One attempt to connect; failed() is called unless the owner was told opened, or stop() came first."""

    def __init__(self, loop: asyncio.AbstractEventLoop, where: tuple[str, int], owner: Owner, failed) -> None:
        self.link = Link(owner)
        self._failed = failed
        self._task = loop.create_task(loop.create_connection(lambda: self.link, *where))
        self._task.add_done_callback(self._done)

    def _done(self, task: asyncio.Task) -> None:
        if not task.cancelled() and task.exception() is not None and self._failed:
            self._failed()

    def stop(self) -> None:
        """Gives the attempt up; a connection that was established meanwhile is closed."""
        self._failed = None
        if self._task.done():
            self.link.abort()
        else:
            self.link.closed = True
            self._task.cancel()
