"""The thin layer between sockets and the state machines: asyncio's BufferedProtocol and dialling.

Owns transports and the one buffer all are read into. Must never look into the bytes, keep a time-out or
decide what a broken connection means: its owner is told opened, received, ended, lost, and does that.
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

BUFFER = memoryview(bytearray(65536))  # each read is handed on before the next one
DRAINED = 262144  # more than so much is not read of what nobody wants
LINGER_S = 1.0  # a reset would take an answer back that the peer has not read yet
PEER_CLOSED = (7, 8, 9, 10, 11)  # TCP states: close, close-wait, last-ack, listen, closing


class Owner(Protocol):
    """Who holds a link. opened comes first, lost last; nothing after it."""

    def opened(self, link: Link) -> None: ...

    def received(self, data: memoryview) -> None: ...

    def lost(self) -> None: ...


class Kernel:
    """What the kernel knows of one socket. A transport whose network is not the kernel's brings its own, by
    get_extra_info("kernel")."""

    def __init__(self, sock: socket.socket | None) -> None:
        self._sock = sock

    def unread(self) -> int:
        try:
            return struct.unpack("i", fcntl.ioctl(self._sock.fileno(), termios.FIONREAD, b"\0\0\0\0"))[0]
        except (OSError, AttributeError):
            return 0

    def told(self) -> tuple[float, bool]:
        try:
            info = self._sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 104)
            return float(struct.unpack_from("=I", info, 52)[0]), info[0] in PEER_CLOSED
        except (OSError, struct.error, AttributeError):
            return 0.0, False


NO_KERNEL = Kernel(None)  # of a link that is not connected yet


class Link(asyncio.BufferedProtocol):
    """One connection."""

    def __init__(self, owner: Owner) -> None:
        self._owner = owner
        self._transport: asyncio.Transport | None = None
        self._kernel = NO_KERNEL
        self.unsent, self.closed = False, False  # bytes wait here for the kernel to take them
        self._over: Callable[[], None] | None = None
        self._dropped = 0

    def connection_made(self, transport: asyncio.Transport) -> None:
        self._transport = transport
        sock = transport.get_extra_info("socket")
        with contextlib.suppress(OSError, AttributeError):  # small writes held back would go with a close;
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)  # asyncio sees to those it dials
        self._kernel = transport.get_extra_info("kernel") or Kernel(sock)
        if self.closed:  # given up while it was dialled
            transport.abort()
            return
        transport.set_write_buffer_limits(high=0)
        self._owner.opened(self)

    def get_buffer(self, sizehint: int) -> memoryview:
        return BUFFER

    def buffer_updated(self, count: int) -> None:
        if not self.closed:
            self._owner.received(BUFFER[:count])
        else:
            self._dropped += count
            if self._dropped > DRAINED:
                self._transport.abort()

    def eof_received(self) -> bool:
        self._lost()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        self._lost()
        if self._over:
            self._over()

    def _lost(self) -> None:
        if not self.closed:
            self.closed = True
            self._owner.lost()

    def pause_writing(self) -> None:
        self.unsent = True

    def resume_writing(self) -> None:
        self.unsent = False

    def write(self, data: bytes) -> bool:
        """False where the kernel took nothing of it: the connection was no more."""
        if not self.closed:
            self._transport.write(data)
        return not self.closed and not self._transport.is_closing()

    def hold(self, stop: bool) -> None:
        """Stops or resumes reading."""
        if not self.closed:
            (self._transport.pause_reading if stop else self._transport.resume_reading)()

    def finish(self, over: Callable[[], None]) -> None:
        """Ends the sending side once all is written; what still comes is dropped until it is over."""
        if not self.closed:
            self.closed, self._over = True, over
            if not self._transport.is_closing():
                self._transport.resume_reading()
                self._transport.write_eof()
                asyncio.get_running_loop().call_later(LINGER_S, self._transport.abort)

    def abort(self) -> None:
        self.closed = True
        if self._transport:
            self._transport.abort()

    def unread(self) -> int:
        """How many bytes the kernel has that were not read yet."""
        return self._kernel.unread()

    def told(self) -> tuple[float, bool]:
        """What the kernel knows: for how many milliseconds no byte has come, and whether the peer closed."""
        return self._kernel.told()


def address(text: str) -> tuple[str, int]:
    host, colon, port = text.rpartition(":")
    if not colon or not host or not port.isdecimal() or not 0 < int(port) < 65536:
        raise ValueError(f"not an address: {text!r}")
    return host.strip("[]"), int(port)


class Dial:
    """One attempt to connect; failed() is called unless the owner was told opened, or stop() came first."""

    def __init__(self, loop: asyncio.AbstractEventLoop, where: tuple[str, int], owner: Owner, failed) -> None:
        self.link, self._failed = Link(owner), failed
        self._task = loop.create_task(loop.create_connection(lambda: self.link, *where))
        self._task.add_done_callback(self._done)

    def _done(self, task: asyncio.Task) -> None:
        if not task.cancelled() and task.exception() is not None and self._failed:
            self._failed()

    def stop(self) -> None:
        self._failed = None
        if self._task.done():
            self.link.abort()
        else:
            self.link.closed = True
            self._task.cancel()
