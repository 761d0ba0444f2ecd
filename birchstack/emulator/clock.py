"""Discrete-event simulation: a virtual clock with an event queue, and an asyncio event loop for each process.

The clock never reads real time; it advances to the next event. Events at the same time run in the order in
which they were scheduled, so that a scenario runs in the same order in any process.
"""

from __future__ import annotations

import asyncio
import contextlib
import heapq
from asyncio import events
from collections import deque
from collections.abc import Callable

# Shortest delay of a timer. A pass of a real event loop takes time too; a wait below the resolution of the
# clock would otherwise be requested again for ever.
MIN_TIMER_DELAY_S = 0.00002


class Killed(BaseException):
    """Ends an emulated process at any point of its execution; no code of the process may catch it."""


class Event:
    """A callback scheduled at a time."""

    __slots__ = ("when", "order", "callback", "args")

    def __init__(self, when: float, order: int, callback: Callable, args: tuple) -> None:
        self.when = when
        self.order = order
        self.callback = callback
        self.args = args

    def __lt__(self, other: Event) -> bool:
        return self.when < other.when or self.when == other.when and self.order < other.order

    def cancel(self) -> None:
        """Prevents the callback from being called."""
        self.callback = None
        self.args = ()


class Clock:
    """Virtual clock, in seconds, with the queue of the events to come."""

    def __init__(self) -> None:
        self.now = 0.0
        self.events_scheduled = 0
        self._queue: list[tuple[float, int, Event]] = []
        self._loops_to_run: list[ProcessLoop] = []

    def now_ms(self) -> float:
        """Returns the time in milliseconds."""
        return self.now * 1000.0

    def at(self, when: float, callback: Callable, *args: object) -> Event:
        """Schedules a callback at a time in seconds."""
        self.events_scheduled += 1
        event = Event(when, self.events_scheduled, callback, args)
        heapq.heappush(self._queue, (when, self.events_scheduled, event))
        return event

    def after(self, ms: float, callback: Callable, *args: object) -> Event:
        """Schedules a callback after a delay in milliseconds."""
        return self.at(self.now + ms / 1000.0, callback, *args)

    def schedule_loop(self, loop: ProcessLoop) -> None:
        """Schedules a pass of an event loop at the current time."""
        if not loop.scheduled:
            loop.scheduled = True
            self._loops_to_run.append(loop)

    def run(self, until: float) -> None:
        """Processes all events up to a time in seconds."""
        queue = self._queue
        while True:
            while self._loops_to_run:
                loops, self._loops_to_run = self._loops_to_run, []
                for loop in loops:
                    loop.scheduled = False
                    loop.run_pass()
            if not queue or queue[0][0] > until:
                self.now = max(self.now, until)
                return
            self.now = max(self.now, queue[0][0])
            while queue and queue[0][0] <= self.now:
                event = heapq.heappop(queue)[2]
                if event.callback is not None:
                    event.callback(*event.args)


class ProcessLoop(asyncio.AbstractEventLoop):
    """Event loop of one emulated process.

    The process can be paused, and it can be ended between any two of its callbacks.
    """

    def __init__(self, clock: Clock, network, name: str) -> None:
        self._clock = clock
        self._network = network
        self.name = name
        self._ready: deque[asyncio.Handle] = deque()
        self.scheduled = False
        self.paused = False
        self.dead = False
        self.faults: list[dict] = []  # contexts passed to the loop's exception handler
        self.signals: dict[int, tuple[Callable, tuple]] = {}
        self.on_fault: Callable[[dict], None] = self.faults.append
        self._tasks: set[asyncio.Task] = set()  # strong references; asyncio itself keeps only weak ones

    # Execution

    def run_pass(self) -> None:
        """Runs the callbacks that are ready; those that become ready meanwhile run in the next pass."""
        if self.paused or self.dead:
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
            self._clock.schedule_loop(self)

    def end(self) -> None:
        """Ends the process: none of its callbacks runs any more."""
        self.dead = True
        self._ready.clear()
        for task in self._tasks:
            with contextlib.suppress(RuntimeError, ValueError):  # raised by the task that is running
                task.get_coro().close()

    def set_paused(self, paused: bool) -> None:
        """Pauses or resumes the process, as SIGSTOP and SIGCONT do."""
        self.paused = paused
        if not paused and self._ready:  # asyncio processes received data before timers that are due
            self._ready = deque(sorted(self._ready, key=lambda each: isinstance(each, asyncio.TimerHandle)))
            self._clock.schedule_loop(self)

    # asyncio.AbstractEventLoop

    def time(self) -> float:
        """Returns the virtual time in seconds."""
        return self._clock.now

    def call_soon(self, callback, *args, context=None) -> asyncio.Handle:
        """Schedules a callback for the next pass."""
        handle = asyncio.Handle(callback, args, self, context)
        self._ready.append(handle)
        if not self.scheduled and not self.paused:
            self._clock.schedule_loop(self)
        return handle

    call_soon_threadsafe = call_soon

    def call_later(self, delay, callback, *args, context=None) -> asyncio.TimerHandle:
        """Schedules a callback after a delay in seconds."""
        return self.call_at(self._clock.now + delay, callback, *args, context=context)

    def call_at(self, when, callback, *args, context=None) -> asyncio.TimerHandle:
        """Schedules a callback at a time in seconds."""
        handle = asyncio.TimerHandle(when, callback, args, self, context)
        self._clock.at(max(when, self._clock.now + MIN_TIMER_DELAY_S), self._timer_due, handle)
        return handle

    def _timer_due(self, handle: asyncio.TimerHandle) -> None:
        if not handle._cancelled and not self.dead:
            self._ready.append(handle)
            if not self.paused:
                self._clock.schedule_loop(self)

    def _timer_handle_cancelled(self, handle: asyncio.TimerHandle) -> None:
        """Leaves the timer in the event queue until it is due: the sender has few timers."""

    def create_future(self) -> asyncio.Future:
        """Returns a new future of this loop."""
        return asyncio.Future(loop=self)

    def create_task(self, coro, *, name=None, context=None) -> asyncio.Task:
        """Starts a task and holds a reference to it until it is done."""
        task = asyncio.Task(coro, loop=self, name=name or "task", context=context)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    def run_in_executor(self, executor, func, *args) -> asyncio.Future:
        """Calls the function immediately, since there is only one thread."""
        future = self.create_future()
        try:
            future.set_result(func(*args))
        except Exception as error:
            future.set_exception(error)
        return future

    def is_running(self) -> bool:
        """Returns whether the process has not ended."""
        return not self.dead

    def is_closed(self) -> bool:
        """Returns whether the process has ended."""
        return self.dead

    def close(self) -> None:
        """Ends the process."""
        self.end()

    def get_debug(self) -> bool:
        """Returns False: asyncio's debug mode is not supported."""
        return False

    def call_exception_handler(self, context: dict) -> None:
        """Passes an unhandled exception to on_fault, unless it comes from the end of the process."""
        if not self.dead and not isinstance(context.get("exception"), Killed):
            self.on_fault(context)

    def add_signal_handler(self, sig, callback, *args) -> None:
        """Registers a signal handler."""
        self.signals[sig] = callback, args

    def remove_signal_handler(self, sig) -> bool:
        """Removes a signal handler and returns whether there was one."""
        return self.signals.pop(sig, None) is not None

    async def create_connection(self, protocol_factory, host=None, port=None, **options):
        """Connects to an address of the simulated network."""
        opened = self.create_future()
        self._network.dial(self, (host, port), protocol_factory, opened)
        return await opened

    async def create_server(self, protocol_factory, host=None, port=None, **options):
        """Listens at an address of the simulated network."""
        return self._network.listen(self, (host, port), protocol_factory)
