"""Virtual time: one heap of events, and an asyncio event loop for each emulated process.

Owns the order in which everything happens. Must never read a real clock: the clock jumps to the next event.
Ties are broken by the order of asking, so the same day has the same order in any process.
"""

from __future__ import annotations

import asyncio
import contextlib
import heapq
from asyncio import events
from collections import deque
from collections.abc import Callable

# No timer comes sooner than this: a real pass takes time too, and a wait that the clock's resolution
# swallows would be asked for again for ever.
PASS_S = 0.00002


class Killed(BaseException):
    """Ends a process in the middle of whatever it does; nothing in it may catch this."""


class Event:
    """Something that happens at a time; cancel() keeps it from happening."""

    __slots__ = ("when", "order", "what", "words")

    def __init__(self, when: float, order: int, what: Callable, words: tuple) -> None:
        self.when, self.order, self.what, self.words = when, order, what, words

    def __lt__(self, other: Event) -> bool:
        return self.when < other.when or self.when == other.when and self.order < other.order

    def cancel(self) -> None:
        self.what, self.words = None, ()


class Clock:
    """The time in seconds, and all that is still to happen."""

    def __init__(self) -> None:
        self.now, self.events = 0.0, 0
        self._heap: list[tuple[float, int, Event]] = []
        self._roused: list[ProcessLoop] = []

    def now_ms(self) -> float:
        return self.now * 1000.0

    def at(self, when: float, what: Callable, *words: object) -> Event:
        self.events += 1
        event = Event(when, self.events, what, words)
        heapq.heappush(self._heap, (when, self.events, event))
        return event

    def after(self, ms: float, what: Callable, *words: object) -> Event:
        return self.at(self.now + ms / 1000.0, what, *words)

    def rouse(self, loop: ProcessLoop) -> None:
        if not loop.roused:
            loop.roused = True
            self._roused.append(loop)

    def run(self, until: float) -> None:
        """Plays all that happens up to a time in seconds."""
        heap = self._heap
        while True:
            while self._roused:
                roused, self._roused = self._roused, []
                for loop in roused:
                    loop.roused = False
                    loop.run_pass()
            if not heap or heap[0][0] > until:
                self.now = max(self.now, until)
                return
            self.now = max(self.now, heap[0][0])
            while heap and heap[0][0] <= self.now:
                event = heapq.heappop(heap)[2]
                if event.what is not None:
                    event.what(*event.words)


class ProcessLoop(asyncio.AbstractEventLoop):
    """The event loop of one process. It can stand still, and it can end between any two of its steps."""

    def __init__(self, clock: Clock, network, name: str) -> None:
        self._clock, self._network, self.name = clock, network, name
        self._ready: deque[asyncio.Handle] = deque()
        self.roused = self.still = self.dead = False
        self.faults: list[dict] = []  # what reached the loop's exception handler
        self.signals: dict[int, tuple[Callable, tuple]] = {}
        self.on_fault: Callable[[dict], None] = self.faults.append
        self._tasks: set[asyncio.Task] = set()  # the loop alone keeps a task alive

    # Passes

    def run_pass(self) -> None:
        """What is ready now, once; what that makes ready comes in the next pass."""
        if self.still or self.dead:
            return
        events._set_running_loop(self)
        ready = self._ready
        try:
            for _ in range(len(ready)):
                handle = ready.popleft()
                if not handle._cancelled:
                    handle._run()
                    if self.dead:
                        ready.clear()
                        return
        finally:
            events._set_running_loop(None)
        if ready:
            self._clock.rouse(self)

    def end(self) -> None:
        """Nothing of this process happens any more."""
        self.dead = True
        self._ready.clear()
        for task in self._tasks:
            with contextlib.suppress(RuntimeError, ValueError):  # the one that runs just now
                task.get_coro().close()

    def stand(self, still: bool) -> None:
        self.still = still
        if not still and self._ready:  # as asyncio does: what was read comes before the timers
            self._ready = deque(sorted(self._ready, key=lambda each: isinstance(each, asyncio.TimerHandle)))
            self._clock.rouse(self)

    # What asyncio asks of a loop

    def time(self) -> float:
        return self._clock.now

    def call_soon(self, callback, *args, context=None) -> asyncio.Handle:
        handle = asyncio.Handle(callback, args, self, context)
        self._ready.append(handle)
        if not self.roused and not self.still:
            self._clock.rouse(self)
        return handle

    call_soon_threadsafe = call_soon

    def call_later(self, delay, callback, *args, context=None) -> asyncio.TimerHandle:
        return self.call_at(self._clock.now + delay, callback, *args, context=context)

    def call_at(self, when, callback, *args, context=None) -> asyncio.TimerHandle:
        handle = asyncio.TimerHandle(when, callback, args, self, context)
        self._clock.at(max(when, self._clock.now + PASS_S), self._due, handle)
        return handle

    def _due(self, handle: asyncio.TimerHandle) -> None:
        if not handle._cancelled and not self.dead:
            self._ready.append(handle)
            if not self.still:
                self._clock.rouse(self)

    def _timer_handle_cancelled(self, handle: asyncio.TimerHandle) -> None:
        """It stays in the heap until its time; the sender's timers are few."""

    def create_future(self) -> asyncio.Future:
        return asyncio.Future(loop=self)

    def create_task(self, coro, *, name=None, context=None) -> asyncio.Task:
        task = asyncio.Task(coro, loop=self, name=name or "task", context=context)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    def run_in_executor(self, executor, func, *args) -> asyncio.Future:
        """At once, on the one thread there is."""
        future = self.create_future()
        try:
            future.set_result(func(*args))
        except Exception as problem:
            future.set_exception(problem)
        return future

    def is_running(self) -> bool:
        return not self.dead

    def is_closed(self) -> bool:
        return self.dead

    def close(self) -> None:
        self.end()

    def get_debug(self) -> bool:
        return False

    def call_exception_handler(self, context: dict) -> None:
        if not self.dead and not isinstance(context.get("exception"), Killed):
            self.on_fault(context)

    def add_signal_handler(self, sig, callback, *args) -> None:
        self.signals[sig] = callback, args

    def remove_signal_handler(self, sig) -> bool:
        return self.signals.pop(sig, None) is not None

    async def create_connection(self, protocol_factory, host=None, port=None, **words):
        opened = self.create_future()
        self._network.dial(self, (host, port), protocol_factory, opened)
        return await opened

    async def create_server(self, protocol_factory, host=None, port=None, **words):
        return self._network.listen(self, (host, port), protocol_factory)
