"""Links between two parties of a rig, which can be told to fail; written once for real and for virtual time.

Owns the bytes under way between two parties, and what is done to them: delay, a rate, cut one way or both,
held and let go, reset, refused. Must never look into the bytes. The stage (sockets or the emulator's network)
brings addresses, connections and time; a link listens at an address of its own, by which its far end knows
the caller.

A cut is what TCP shows of one: bytes vanish, a dial never comes up, nothing is told to either end; when the
cut is over, connections that lost bytes are reset. A link that is held loses nothing: what waited goes on in
its order.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from typing import Protocol

Address = tuple[str, int]
THERE, BACK, BOTH = "there", "back", "both"
END, RESET = object(), object()


class Stage(Protocol):
    def now_ms(self) -> float: ...

    def after(self, ms: float, what: Callable, *words: object) -> object: ...

    def serve(self, where: Address, name: str, accept: Callable) -> object: ...

    def reach(self, where: Address, peer: object, refused: Callable[[], None]) -> None: ...

    def refuse(self, host: object, refuses: bool) -> None: ...


class Way:
    """One direction of a link. rate: bytes a second, 0 for no bound."""

    def __init__(self) -> None:
        self.delay_ms = self.rate = 0.0
        self.cut = self.held = False
        self.bytes = 0


class Lane:
    """One direction of one connection."""

    def __init__(self, link: Link, way: Way, arrive: Callable[[object], None]) -> None:
        self._link, self.way, self._arrive = link, way, arrive
        self._queue: deque[tuple[float, object]] = deque()
        self._due_at, self._set = 0.0, False
        self.broken = False  # bytes of this direction vanished

    def put(self, what: object) -> None:
        """Bytes, END or RESET, on their way."""
        way, now = self.way, self._link.stage.now_ms()
        if way.cut:
            self.broken = True
            return
        size = len(what) if isinstance(what, bytes) else 0
        way.bytes += size
        spent = size * 1000.0 / way.rate if way.rate else 0.0
        self._due_at = max(now + way.delay_ms, self._due_at) + spent
        self._queue.append((self._due_at, what))
        self.go()

    def go(self) -> None:
        """What has arrived by now, unless it is held."""
        now = self._link.stage.now_ms()
        while self._queue and not self.way.held and self._queue[0][0] <= now + 0.001:
            self._arrive(self._queue.popleft()[1])
        if self._queue and not self.way.held and not self._set:
            self._set = True
            self._link.stage.after(self._queue[0][0] - now, self._later)

    def _later(self) -> None:
        self._set = False
        self.go()


class Side:
    """One end of a connection as the stage sees it: a peer that passes everything on."""

    def __init__(self, opened: Callable[[], None]) -> None:
        self._opened = opened
        self.port: object = None
        self.lane: Lane | None = None  # what comes in here goes there
        self.over = False

    def opened(self, port: object) -> None:
        self.port = port
        if self.over:
            port.abort()
        else:
            self._opened()

    def received(self, data: bytes) -> None:
        self.lane.put(bytes(data))

    def ended(self, reset: bool) -> None:
        self.lane.put(RESET if reset else END)

    def out(self, what: object) -> None:
        """Something arrives at the party behind this end."""
        if self.over or self.port is None:
            return
        if what is END:
            self.port.close()
            self.over = True
        elif what is RESET:
            self.abort()
        else:
            self.port.write(what)

    def abort(self) -> None:
        self.over = True
        if self.port is not None:
            self.port.abort()


class Inside:
    """The far end where it is a peer of the model itself: no second connection is needed."""

    def __init__(self, peer: object) -> None:
        self._peer = peer
        self.lane: Lane | None = None
        self.over = False

    # the peer's port

    def write(self, data: bytes) -> None:
        if not self.over:
            self.lane.put(bytes(data))

    def close(self) -> None:
        if not self.over:
            self.over = True
            self.lane.put(END)

    def abort(self) -> None:
        if not self.over:
            self.over = True
            self.lane.put(RESET)

    def watch(self, left: Callable[[], None]) -> None:
        """What the caller's end does is seen when it arrives."""

    # the link's end

    def out(self, what: object) -> None:
        if self.over:
            return
        if what is END or what is RESET:
            self._peer.ended(what is RESET)
        else:
            self._peer.received(what)


class Connection:
    """One connection over a link, from its dial to its end."""

    def __init__(self, link: Link) -> None:
        self.link, self.near = link, Side(self._near_opened)
        self.far: Side | Inside | None = None
        self.there = Lane(link, link.there, self._there)
        self.back = Lane(link, link.back, self._back)
        self.near.lane = self.there
        self._waiting: list[object] = []  # came before the far end stood
        self.stuck = False

    def _near_opened(self) -> None:
        link = self.link
        if link.there.cut or link.back.cut:  # the dial gets no answer; seen as silence, reset when it is over
            self.there.broken = self.stuck = True
            return
        if not callable(link.to):
            self.far = Side(self._far_opened)
            self.far.lane = self.back
            link.stage.reach(link.to, self.far, lambda: self.near.abort())
            return
        peer = link.to(link.a)
        self.far = Inside(peer)
        self.far.lane = self.back
        peer.opened(self.far)

    def _far_opened(self) -> None:
        waiting, self._waiting = self._waiting, []
        for what in waiting:
            self.far.out(what)

    def _there(self, what: object) -> None:
        if self.far is None or isinstance(self.far, Side) and self.far.port is None:
            self._waiting.append(what)
        else:
            self.far.out(what)
        if what is END or what is RESET:
            self._over()

    def _back(self, what: object) -> None:
        if isinstance(what, bytes) and not self.near.over:
            self.link.tap(what)
        self.near.out(what)
        if what is END or what is RESET:
            self._over()

    def _over(self) -> None:
        """One end has let go, and the other has heard of it."""
        self.link.connections.pop(self, None)
        self.near.over = True
        if self.near.port is not None:
            self.near.port.close()
        if isinstance(self.far, Side):
            self.far.over = True
            if self.far.port is not None:
                self.far.port.close()

    def reset(self) -> None:
        self.link.connections.pop(self, None)
        self.near.abort()
        if isinstance(self.far, Side):
            self.far.abort()
        elif self.far is not None:
            self.far.out(RESET)
            self.far.over = True

    def healed(self) -> None:
        if self.there.broken or self.back.broken:
            self.reset()


class Link:
    """From a to b. to: the address behind it, or a function that makes the peer for a caller."""

    def __init__(
        self, stage: Stage, a: str, b: str, to: Address | Callable[[str], object], where: Address
    ) -> None:
        self.stage, self.a, self.b, self.to = stage, a, b, to
        self.there, self.back = Way(), Way()
        self.connections: dict[Connection, None] = {}
        self.dials = 0
        self.tap: Callable[[bytes], None] = lambda data: None  # what reaches the caller
        self.host = stage.serve(where, f"{a}>{b}", self._accept)

    @property
    def where(self) -> Address:
        return self.host.where

    def _accept(self) -> Side:
        self.dials += 1
        made = Connection(self)
        self.connections[made] = None
        return made.near

    def ways(self, way: str = BOTH) -> list[Way]:
        return [each for name, each in ((THERE, self.there), (BACK, self.back)) if way in (name, BOTH)]

    # Faults; each lasts until open() or its own opposite

    def cut(self, way: str = BOTH) -> None:
        for each in self.ways(way):
            each.cut = True

    def hold(self, way: str = BOTH) -> None:
        for each in self.ways(way):
            each.held = True

    def delay(self, ms: float, way: str = BOTH) -> None:
        for each in self.ways(way):
            each.delay_ms = ms

    def slow(self, rate: float, way: str = BOTH) -> None:
        for each in self.ways(way):
            each.rate = rate

    def refuse(self) -> None:
        self.stage.refuse(self.host, True)

    def reset(self) -> None:
        for each in [*self.connections]:
            each.reset()

    def open(self, way: str = BOTH) -> None:
        """Everything is as it should be again."""
        for each in self.ways(way):
            each.cut = each.held = False
            each.delay_ms = each.rate = 0.0
        if self.host.refusing:
            self.stage.refuse(self.host, False)
        for each in [*self.connections]:
            each.healed()
        for each in [*self.connections]:
            each.there.go()
            each.back.go()
