"""The keeper as a process: asks the doors in their turns, follows the list service, commits what came.

Owns the clock, the asks under way and the moments of commit. Must never answer a question: whoever asks reads
the store. Its death loses nothing that it had said to have, and no sender notices it.
"""

from __future__ import annotations

import asyncio
import logging
import random
import sqlite3
from functools import partial

import msgspec

from birchstack.fleet import lag, wire
from birchstack.fleet.versions import FIRST, LIST, SAME, ListContents, Version, compare
from birchstack.keeper.asking import Ask
from birchstack.keeper.collect import Rounds
from birchstack.keeper.config import Keeper
from birchstack.keeper.relay import Relay
from birchstack.keeper.store import Store
from birchstack.net.discovery import Watch
from birchstack.net.driver import address
from birchstack.net.log import say
from birchstack.net.machine import LastingClock, Machine

COMMIT_S = 0.1  # what came in this time is committed together
FULL_S = 5.0  # after a commit that failed, nothing is asked for so long
REPORT_S = 60.0
JUDGE_S = 0.5  # so often every sender is judged anew
log = logging.getLogger(__name__)


class Collector:
    """One keeper from its start to its end."""

    def __init__(
        self,
        told: Keeper,
        loop: asyncio.AbstractEventLoop,
        store: Store,
        machine: Machine,
        clock: LastingClock,
        chance: random.Random,
    ) -> None:
        self._told, self._loop, self._store, self._machine = told, loop, store, machine
        self._clock = clock
        self._doors = {door: sender.name for sender in told.senders for door in sender.doors()}
        asks = told.asks
        self._rounds = Rounds([*self._doors], loop.time(), asks.every_s, asks.pause_s, asks.most, chance)
        self._relay = Relay(asks.signal_bytes)
        self._out: dict[str, Ask] = {}
        self._timer: asyncio.TimerHandle | None = None
        self._committing: asyncio.TimerHandle | None = None
        self._full_until = 0.0
        self._counts = {"asked": 0, "answered": 0, "failed": 0, "records": 0, "commits_failed": 0}
        self._watch: Watch | None = None
        self._held: Version | None = None  # the version stored last, and its endpoints
        self._states: dict[str, str] = {}
        self._contents = ListContents()
        self._turns, self._verdicts = lag.FlapHistory(), {}
        self._began_ms = clock.ms()
        self.ended = loop.create_future()

    def start(self) -> None:
        self._machine.on_signals(self._loop, self.stop, lambda: None)
        self._held, self._states = self._store.newest()
        if self._told.lists:
            self._watch = Watch(
                self._loop, address(self._told.lists.at), (), lambda mode, listed: None, self._listed
            )
            self._watch.start({})
        say(log, "keeping", name=self._told.name, doors=len(self._doors), store=self._told.store)
        self._loop.call_later(REPORT_S, self._report)
        self._loop.call_later(JUDGE_S, self._judge)
        self._go()

    def stop(self) -> None:
        if self.ended.done():
            return
        for ask in [*self._out.values()]:
            ask.stop()
        if self._watch:
            self._watch.stop()
        for timer in (self._timer, self._committing):
            if timer:
                timer.cancel()
        self._commit()
        say(log, "ended", **self._counts, **self._relay.counts)
        self.ended.set_result(None)

    def _report(self) -> None:
        say(log, "state", out=len(self._out), **self._counts, **self._relay.counts)
        self._loop.call_later(REPORT_S, self._report)

    # Asking

    def _go(self) -> None:
        if self.ended.done():
            return
        now = self._loop.time()
        if now >= self._full_until:
            for at in self._rounds.due(now):
                self._counts["asked"] += 1
                self._out[at] = Ask(
                    self._loop,
                    address(at),
                    self._store.wanted(at),
                    self._relay.question(at, self._machine.steady_ms()),
                    self._told.asks.timeout_s,
                    partial(self._answered, at),
                )
        due = max(self._rounds.next() or now + 1.0, self._full_until)
        if self._timer:
            self._timer.cancel()
        self._timer = self._loop.call_later(max(0.001, due - now), self._go)

    def _answered(self, at: str, piece: wire.TrailResponse | None, sent_at: float, problem: str) -> None:
        self._out.pop(at, None)
        now = self._loop.time()
        if piece is not None and piece.name != self._doors.get(at):
            self._store.found(
                "wrong door", self._doors.get(at, ""), f"{at} answers as {piece.name}", self._clock.ms()
            )
        if piece is None:
            self._counts["failed"] += 1
            log.debug("no answer", extra={"words": {"at": at, "problem": problem}})
            self._rounds.failed(at, now)
        else:
            self._counts["answered"] += 1
            spent_ms, steady_ms = (now - sent_at) * 1000.0, self._machine.steady_ms()
            self._relay.answered(at, self._doors.get(at, ""), piece, steady_ms - spent_ms, steady_ms)
            piece = msgspec.structs.replace(piece, signals=b"")  # they age: nothing to keep
            half_ms = (now - sent_at) * 500.0  # it spoke somewhere between the question and the answer
            try:
                more = self._store.take(at, piece, self._clock.ms() - half_ms, half_ms)
            except sqlite3.Error as failed:
                self._broken(failed)
                more = False
            self._rounds.answered(at, now, more)
            self._soon()
        self._go()

    def _soon(self) -> None:
        if self._committing is None:
            self._committing = self._loop.call_later(COMMIT_S, self._commit)

    def _commit(self) -> None:
        self._committing = None
        if not self._store.commit():
            self._broken("not committed")

    def _broken(self, problem: object) -> None:
        """The disk is full or failed: what came since the last commit is asked for again later."""
        self._store.rollback()
        self._held, self._states = self._store.newest()
        self._counts["commits_failed"] += 1
        self._full_until = self._loop.time() + FULL_S
        if self._counts["commits_failed"] in (1, 10, 100) or self._counts["commits_failed"] % 1000 == 0:
            say(
                log,
                "the store cannot be written",
                logging.ERROR,
                problem=problem,
                times=self._counts["commits_failed"],
            )

    # Verdicts

    def _judge(self) -> None:
        """Who is a straggler now; the store keeps each change of a verdict, with its evidence."""
        if self.ended.done():
            return
        self._loop.call_later(JUDGE_S, self._judge)
        now = self._clock.ms()
        bounds = lag.LagThresholds(
            self._told.lists.behind_s * 1000.0 if self._told.lists else lag.LagThresholds.behind_ms,
            self._told.asks.silent_s * 1000.0,
        )
        if now - self._began_ms < bounds.silent_ms:
            return  # nobody had time to be silent yet
        heard = now - self._watch.silent_ms() if self._watch else None
        versions = tuple((Version(LIST, *words), at) for *words, at in self._store.given())
        view = lag.judge(self._sightings(), lag.PublishedLists(versions, heard), now, bounds, self._turns)
        told = {"": (view.fleet, view.evidence, 0.0)}
        told.update((each.sender, (each.what, each.evidence, each.since_ms)) for each in view.verdicts)
        for sender, (what, evidence, since) in told.items():
            if self._verdicts.get(sender, lag.HEALTHY) != what:
                self._store.judged(sender, what, evidence, since, now)
                say(log, "verdict", sender=sender or "the fleet", what=what, evidence=evidence)
                self._soon()
            self._verdicts[sender] = what

    def _sightings(self) -> list[lag.SenderSnapshot]:
        """Each sender by the door that answered last and acts, of those that the file names."""
        best: dict[str, lag.SenderSnapshot] = {
            name: lag.SenderSnapshot(name, None) for name in self._doors.values()
        }
        for at, _, answered, kept in self._store.doors():
            name = self._doors.get(at)
            if name is None or answered is None or kept is None:
                continue
            piece = wire.decode(kept)
            had = best[name].answered_ms
            if piece.holds and (had is None or answered > had):
                best[name] = lag.SenderSnapshot(name, answered, piece.versions.get(LIST), piece.heard_ms)
        return [*best.values()]

    # The list

    def _listed(self, told: dict, source: str) -> bool:
        """Each version as the service gives it out, at the time at which it came here."""
        contents = self._contents
        contents.apply(bool(told.get("all")), told["targets"])
        version = Version(LIST, source, str(told.get("epoch") or ""), told["rev"], contents.digest())
        order = compare(version, self._held) if self._held else FIRST
        if order == SAME:
            return True
        changes = {name: state for name, state in contents.states.items() if self._states.get(name) != state}
        changes.update(
            (name, "left")
            for name, state in self._states.items()
            if name not in contents.states and state != "left"
        )
        self._held, self._states = version, dict(contents.states)
        try:
            self._store.publish(version, order, changes, self._clock.ms())
        except sqlite3.Error as problem:
            self._broken(problem)
        self._soon()
        return True


async def serve(told: Keeper, machine: Machine, folder: str) -> None:
    loop = asyncio.get_running_loop()
    store = Store(told.store, told.store_mb)
    collector = Collector(
        told,
        loop,
        store,
        machine,
        LastingClock(machine, machine.folder(folder)),
        random.Random(machine.unique()),
    )
    collector.start()
    try:
        await collector.ended
    finally:
        store.close()
