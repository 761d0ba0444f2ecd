"""Links between two parties of a rig, with fault injection, for real and for virtual time.

A link relays the bytes between two parties without reading them, and can delay them, limit their rate, drop
them in one direction or both, hold them back, deliver them a second time, and reset or refuse connections.
The stage (sockets or the emulator's network) provides addresses, connections and time. A link listens at an
address of its own, by which the target recognizes the caller.

A cut behaves like a network partition under TCP: bytes are dropped, a dial is never answered, and neither end
is told; when the cut ends, connections that lost bytes are reset. A held link loses nothing: the bytes that
waited are delivered in order.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from typing import Protocol

Address = tuple[str, int]
THERE = "there"  # from the caller to the target
BACK = "back"
BOTH = "both"
END_OF_STREAM = object()  # marks the close of the connection in a stream
RESET = object()  # marks a reset


class Stage(Protocol):
    """Time and connections, as the environment (sockets or the emulated network) provides them."""

    def now_ms(self) -> float:
        """Returns the time since the start."""

    def after(self, ms: float, function: Callable, *arguments: object) -> object:
        """Calls a function after a delay."""

    def serve(self, where: Address, name: str, accept: Callable) -> object:
        """Listens at an address; accept makes the peer of each connection."""

    def reach(self, where: Address, peer: object, refused: Callable[[], None]) -> None:
        """Connects a peer to an address; calls refused if the connection is refused."""

    def refuse(self, host: object, refuses: bool) -> None:
        """Makes a listening address refuse connections, or accept them again."""


class Direction:
    """State of one direction of a link. rate: bytes per second, 0 for no limit.

    draw_copy: called for each write; returns after how many milliseconds a second copy of its bytes follows,
    or None for no copy. alter: called with the bytes of each write; returns what is relayed in their place,
    and whether the connection is reset behind it.
    """

    def __init__(self) -> None:
        self.delay_ms = self.rate = 0.0
        self.cut = self.held = False
        self.bytes = 0
        self.draw_copy: Callable[[], float | None] | None = None
        self.copies = 0  # copies delivered
        self.alter: Callable[[bytes], tuple[bytes, bool]] | None = None


class Stream:
    """One direction of one connection."""

    def __init__(self, link: Link, direction: Direction, deliver: Callable[[object], None]) -> None:
        self._link = link
        self.direction = direction
        self._deliver = deliver
        self._queue: deque[tuple[float, object]] = deque()
        self._due_at = 0.0
        self._timer_set = False
        self.lost_bytes = False  # bytes of this direction were dropped

    def send(self, item: object) -> None:
        """Queues bytes, END_OF_STREAM or RESET; drops them if the direction is cut."""
        direction = self.direction
        now = self._link.stage.now_ms()
        if direction.cut:
            self.lost_bytes = True
            return
        if direction.alter and isinstance(item, bytes):
            item, resets = direction.alter(item)
            if resets:
                self._link.stage.after(direction.delay_ms, self._deliver, RESET)
        size = len(item) if isinstance(item, bytes) else 0
        direction.bytes += size
        transfer_ms = size * 1000.0 / direction.rate if direction.rate else 0.0
        self._due_at = max(now + direction.delay_ms, self._due_at) + transfer_ms
        self._queue.append((self._due_at, item))
        copy_after_ms = direction.draw_copy() if direction.draw_copy and size else None
        if copy_after_ms is not None:
            self._link.stage.after(self._due_at - now + copy_after_ms, self._deliver_copy, item)
        self.release()

    def _deliver_copy(self, data: object) -> None:
        if not (self.direction.cut or self.direction.held):
            self.direction.copies += 1
            self._deliver(data)

    def release(self) -> None:
        """Delivers what is due, unless the direction is held."""
        now = self._link.stage.now_ms()
        while self._queue and not self.direction.held and self._queue[0][0] <= now + 0.001:
            self._deliver(self._queue.popleft()[1])
        if self._queue and not self.direction.held and not self._timer_set:
            self._timer_set = True
            self._link.stage.after(self._queue[0][0] - now, self._on_timer)

    def _on_timer(self) -> None:
        self._timer_set = False
        self.release()


class SocketEnd:
    """One end of a connection of the stage; forwards everything to the other end."""

    def __init__(self, opened: Callable[[], None]) -> None:
        self._opened = opened
        self.port: object = None
        self.stream: Stream | None = None  # takes what is received here
        self.closed = False

    def opened(self, port: object) -> None:
        """The connection was established."""
        self.port = port
        if self.closed:
            port.abort()
        else:
            self._opened()

    def received(self, data: bytes) -> None:
        """Bytes arrived from the party."""
        self.stream.send(bytes(data))

    def ended(self, reset: bool) -> None:
        """The party closed or reset the connection."""
        self.stream.send(RESET if reset else END_OF_STREAM)

    def deliver(self, item: object) -> None:
        """Passes bytes, a close or a reset to the party at this end."""
        if self.closed or self.port is None:
            return
        if item is END_OF_STREAM:
            self.port.close()
            self.closed = True
        elif item is RESET:
            self.abort()
        else:
            self.port.write(item)

    def abort(self) -> None:
        """Resets the connection."""
        self.closed = True
        if self.port is not None:
            self.port.abort()


class PeerEnd:
    """The far end where the target is a peer of the model itself, so that no second connection is needed."""

    def __init__(self, peer: object) -> None:
        self._peer = peer
        self.stream: Stream | None = None
        self.closed = False

    # The port of the peer

    def write(self, data: bytes) -> None:
        """Sends bytes from the peer."""
        if not self.closed:
            self.stream.send(bytes(data))

    def close(self) -> None:
        """Closes the connection for the peer."""
        if not self.closed:
            self.closed = True
            self.stream.send(END_OF_STREAM)

    def abort(self) -> None:
        """Resets the connection for the peer."""
        if not self.closed:
            self.closed = True
            self.stream.send(RESET)

    def watch(self, left: Callable[[], None]) -> None:
        """Does nothing: the peer learns of the caller's close when it arrives."""

    # The end of the link

    def deliver(self, item: object) -> None:
        """Passes bytes, a close or a reset to the peer."""
        if self.closed:
            return
        if item is END_OF_STREAM or item is RESET:
            self._peer.ended(item is RESET)
        else:
            self._peer.received(item)


class Connection:
    """One connection over a link, from its dial to its end."""

    def __init__(self, link: Link) -> None:
        self.link = link
        self.near = SocketEnd(self._near_opened)
        self.far: SocketEnd | PeerEnd | None = None
        self.there = Stream(link, link.there, self._deliver_there)
        self.back = Stream(link, link.back, self._deliver_back)
        self.near.stream = self.there
        self._pending: list[object] = []  # arrived before the far end was connected
        self.unanswered = False

    def _near_opened(self) -> None:
        link = self.link
        if link.there.cut or link.back.cut:  # no answer until the cut ends, then a reset
            self.there.lost_bytes = self.unanswered = True
            return
        if not callable(link.to):
            self.far = SocketEnd(self._far_opened)
            self.far.stream = self.back
            link.stage.reach(link.to, self.far, lambda: self.near.abort())
            return
        peer = link.to(link.caller)
        self.far = PeerEnd(peer)
        self.far.stream = self.back
        peer.opened(self.far)

    def _far_opened(self) -> None:
        pending, self._pending = self._pending, []
        for item in pending:
            self.far.deliver(item)

    def _deliver_there(self, item: object) -> None:
        if self.far is None or isinstance(self.far, SocketEnd) and self.far.port is None:
            self._pending.append(item)
        else:
            self.far.deliver(item)
        if item is END_OF_STREAM or item is RESET:
            self._finish()

    def _deliver_back(self, item: object) -> None:
        if isinstance(item, bytes) and not self.near.closed:
            self.link.tap(item)
        self.near.deliver(item)
        if item is END_OF_STREAM or item is RESET:
            self._finish()

    def _finish(self) -> None:
        """Closes both ends, after one of them closed and the other was told."""
        self.link.connections.pop(self, None)
        self.near.closed = True
        if self.near.port is not None:
            self.near.port.close()
        if isinstance(self.far, SocketEnd):
            self.far.closed = True
            if self.far.port is not None:
                self.far.port.close()

    def reset(self) -> None:
        """Resets both ends."""
        self.link.connections.pop(self, None)
        self.near.abort()
        if isinstance(self.far, SocketEnd):
            self.far.abort()
        elif self.far is not None:
            self.far.deliver(RESET)
            self.far.closed = True

    def reset_if_damaged(self) -> None:
        """Resets the connection if it lost bytes."""
        if self.there.lost_bytes or self.back.lost_bytes:
            self.reset()


class Link:
    """A link from a caller to a target.

    to: the address of the target, or a function that makes its peer for a caller.
    """

    def __init__(
        self, stage: Stage, caller: str, target: str, to: Address | Callable[[str], object], where: Address
    ) -> None:
        self.stage = stage
        self.caller = caller
        self.target = target
        self.to = to
        self.there = Direction()
        self.back = Direction()
        self.connections: dict[Connection, None] = {}
        self.dials = 0
        self.tap: Callable[[bytes], None] = lambda data: None  # called with the bytes that reach the caller
        self.host = stage.serve(where, f"{caller}>{target}", self._accept)

    @property
    def where(self) -> Address:
        """The address at which the link listens."""
        return self.host.where

    def _accept(self) -> SocketEnd:
        self.dials += 1
        connection = Connection(self)
        self.connections[connection] = None
        return connection.near

    def ways(self, way: str = BOTH) -> list[Direction]:
        """Returns the directions named: "there", "back" or "both"."""
        return [
            direction for name, direction in ((THERE, self.there), (BACK, self.back)) if way in (name, BOTH)
        ]

    # Faults; each lasts until open() or until it is undone

    def cut(self, way: str = BOTH) -> None:
        """Drops all bytes and leaves dials without an answer."""
        for direction in self.ways(way):
            direction.cut = True

    def hold(self, way: str = BOTH) -> None:
        """Holds all bytes back, without loss."""
        for direction in self.ways(way):
            direction.held = True

    def delay(self, ms: float, way: str = BOTH) -> None:
        """Delays all bytes."""
        for direction in self.ways(way):
            direction.delay_ms = ms

    def slow(self, rate: float, way: str = BOTH) -> None:
        """Limits the rate, in bytes per second."""
        for direction in self.ways(way):
            direction.rate = rate

    def copy(self, draw: Callable[[], float | None], way: str = BACK) -> None:
        """Delivers the bytes of some writes a second time, as a faulty proxy does; see Direction."""
        for direction in self.ways(way):
            direction.draw_copy = draw

    def alter(self, change: Callable[[bytes], tuple[bytes, bool]], way: str = BACK) -> None:
        """Relays other bytes than were written, and may reset the connection behind them; see Direction."""
        for direction in self.ways(way):
            direction.alter = change

    def refuse(self) -> None:
        """Refuses connections."""
        self.stage.refuse(self.host, True)

    def reset(self) -> None:
        """Resets all connections."""
        for connection in [*self.connections]:
            connection.reset()

    def open(self, way: str = BOTH) -> None:
        """Ends all faults: connections that lost bytes are reset, held bytes are delivered."""
        for each in self.ways(way):
            each.cut = each.held = False
            each.delay_ms = each.rate = 0.0
            each.draw_copy = each.alter = None
        if self.host.refusing:
            self.stage.refuse(self.host, False)
        for each in [*self.connections]:
            each.reset_if_damaged()
        for each in [*self.connections]:
            each.there.release()
            each.back.release()
