"""The collector process: polls senders on schedule, watches the list service and commits what it receives.

Owns the clock, the polls in flight and the times of commits. Must not answer audit queries: these read the
store directly. A crash loses nothing that was reported as stored, and senders do not depend on the collector.
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
from birchstack.keeper.asking import PollRequest
from birchstack.keeper.collect import PollSchedule
from birchstack.keeper.config import CollectorConfig
from birchstack.keeper.relay import Relay
from birchstack.keeper.store import Store
from birchstack.net.discovery import Watch
from birchstack.net.driver import parse_address
from birchstack.net.log import log_event
from birchstack.net.machine import Machine, PersistentClock

COMMIT_DELAY_S = 0.1  # answers that arrive within this time share one transaction
WRITE_RETRY_S = 5.0  # no polls for this long after a failed write
LOG_INTERVAL_S = 60.0  # interval of the log line with the counters
VERDICT_INTERVAL_S = 0.5  # interval of the verdicts on all senders
log = logging.getLogger(__name__)


class Collector:
    """Runs one collector from its start to its end."""

    def __init__(
        self,
        config: CollectorConfig,
        loop: asyncio.AbstractEventLoop,
        store: Store,
        machine: Machine,
        clock: PersistentClock,
        rng: random.Random,
    ) -> None:
        self._config = config
        self._loop = loop
        self._store = store
        self._machine = machine
        self._clock = clock
        self._sender_names = {
            audit_address: sender.name for sender in config.senders for audit_address in sender.addresses()
        }
        polling = config.asks
        self._schedule = PollSchedule(
            [*self._sender_names], loop.time(), polling.every_s, polling.pause_s, polling.most, rng
        )
        self._relay = Relay(polling.signal_bytes)
        self._polls: dict[str, PollRequest] = {}
        self._poll_timer: asyncio.TimerHandle | None = None
        self._commit_timer: asyncio.TimerHandle | None = None
        self._paused_until = 0.0  # no polls before this time, after a failed write
        self._counts = {"asked": 0, "answered": 0, "failed": 0, "records": 0, "commits_failed": 0}
        self._watch: Watch | None = None
        self._latest_list: Version | None = None  # the list version stored last, and its endpoints' states
        self._latest_states: dict[str, str] = {}
        self._contents = ListContents()
        self._turns = lag.FlapHistory()
        self._verdicts = {}
        self._started_ms = clock.ms()
        self.finished = loop.create_future()

    def start(self) -> None:
        """Starts polling, the watch of the list service and the periodic tasks."""
        self._machine.on_signals(self._loop, self.stop, lambda: None)
        self._latest_list, self._latest_states = self._store.latest_list()
        if self._config.lists:
            self._watch = Watch(
                self._loop, parse_address(self._config.lists.at), (), lambda mode, listed: None, self._on_list
            )
            self._watch.start({})
        log_event(
            log,
            "keeping",
            name=self._config.name,
            doors=len(self._sender_names),
            store=self._config.store,
        )
        self._loop.call_later(LOG_INTERVAL_S, self._log_counts)
        self._loop.call_later(VERDICT_INTERVAL_S, self._update_verdicts)
        self._poll()

    def stop(self) -> None:
        """Cancels polls and timers, commits, and completes `finished`."""
        if self.finished.done():
            return
        for poll in [*self._polls.values()]:
            poll.stop()
        if self._watch:
            self._watch.stop()
        for timer in (self._poll_timer, self._commit_timer):
            if timer:
                timer.cancel()
        self._commit()
        log_event(log, "ended", **self._counts, **self._relay.counts)
        self.finished.set_result(None)

    def _log_counts(self) -> None:
        log_event(log, "state", out=len(self._polls), **self._counts, **self._relay.counts)
        self._loop.call_later(LOG_INTERVAL_S, self._log_counts)

    # Polling

    def _poll(self) -> None:
        """Starts the polls that are due and sets the timer for the next ones."""
        if self.finished.done():
            return
        now = self._loop.time()
        if now >= self._paused_until:
            for audit_address in self._schedule.take_due(now):
                self._counts["asked"] += 1
                self._polls[audit_address] = PollRequest(
                    self._loop,
                    parse_address(audit_address),
                    self._store.resume_after(audit_address),
                    self._relay.question(audit_address, self._machine.steady_ms()),
                    self._config.asks.timeout_s,
                    partial(self._on_answer, audit_address),
                )
        due = max(self._schedule.next_due() or now + 1.0, self._paused_until)
        if self._poll_timer:
            self._poll_timer.cancel()
        self._poll_timer = self._loop.call_later(max(0.001, due - now), self._poll)

    def _on_answer(
        self, audit_address: str, answer: wire.TrailResponse | None, sent_at: float, problem: str
    ) -> None:
        """Stores the answer of a poll, or records its failure, and goes on polling."""
        self._polls.pop(audit_address, None)
        now = self._loop.time()
        if answer is not None and answer.name != self._sender_names.get(audit_address):
            self._store.add_finding(
                "wrong door",
                self._sender_names.get(audit_address, ""),
                f"{audit_address} answers as {answer.name}",
                self._clock.ms(),
            )
        if answer is None:
            self._counts["failed"] += 1
            log.debug("no answer", extra={"fields": {"at": audit_address, "problem": problem}})
            self._schedule.failed(audit_address, now)
        else:
            self._counts["answered"] += 1
            round_trip_ms = (now - sent_at) * 1000.0
            steady_ms = self._machine.steady_ms()
            self._relay.handle_answer(
                audit_address,
                self._sender_names.get(audit_address, ""),
                answer,
                steady_ms - round_trip_ms,
                steady_ms,
            )
            answer = msgspec.structs.replace(answer, signals=b"")  # signals expire, so they are not stored
            # the sender's clock was read somewhere between request and answer: assume the middle
            half_round_trip_ms = (now - sent_at) * 500.0
            try:
                more = self._store.store_answer(
                    audit_address, answer, self._clock.ms() - half_round_trip_ms, half_round_trip_ms
                )
            except sqlite3.Error as error:
                self._write_failed(error)
                more = False
            self._schedule.answered(audit_address, now, more)
            self._schedule_commit()
        self._poll()

    def _schedule_commit(self) -> None:
        if self._commit_timer is None:
            self._commit_timer = self._loop.call_later(COMMIT_DELAY_S, self._commit)

    def _commit(self) -> None:
        self._commit_timer = None
        if not self._store.commit():
            self._write_failed("commit failed")

    def _write_failed(self, problem: object) -> None:
        """Rolls back and pauses polling: the disk is full or failed.

        Records received since the last commit are fetched again by later polls.
        """
        self._store.rollback()
        self._latest_list, self._latest_states = self._store.latest_list()
        self._counts["commits_failed"] += 1
        self._paused_until = self._loop.time() + WRITE_RETRY_S
        if self._counts["commits_failed"] in (1, 10, 100) or self._counts["commits_failed"] % 1000 == 0:
            log_event(
                log,
                "the store cannot be written",
                logging.ERROR,
                problem=problem,
                times=self._counts["commits_failed"],
            )

    # Verdicts

    def _update_verdicts(self) -> None:
        """Judges the staleness of every sender and stores each change of a verdict with its evidence."""
        if self.finished.done():
            return
        self._loop.call_later(VERDICT_INTERVAL_S, self._update_verdicts)
        now = self._clock.ms()
        bounds = lag.LagThresholds(
            self._config.lists.behind_s * 1000.0 if self._config.lists else lag.LagThresholds.behind_ms,
            self._config.asks.silent_s * 1000.0,
        )
        if now - self._started_ms < bounds.silent_ms:
            return  # too early to tell a silent sender from one that was not polled yet
        list_heard_ms = now - self._watch.silent_ms() if self._watch else None
        versions = tuple((Version(LIST, *fields), at_ms) for *fields, at_ms in self._store.recent_versions())
        view = lag.judge(
            self._sightings(), lag.PublishedLists(versions, list_heard_ms), now, bounds, self._turns
        )
        verdicts = {"": (view.fleet, view.evidence, 0.0)}
        verdicts.update(
            (verdict.sender, (verdict.what, verdict.evidence, verdict.since_ms)) for verdict in view.verdicts
        )
        for sender, (what, evidence, since_ms) in verdicts.items():
            if self._verdicts.get(sender, lag.HEALTHY) != what:
                self._store.add_verdict(sender, what, evidence, since_ms, now)
                log_event(log, "verdict", sender=sender or "the fleet", what=what, evidence=evidence)
                self._schedule_commit()
            self._verdicts[sender] = what

    def _sightings(self) -> list[lag.SenderSnapshot]:
        """Returns for each configured sender the latest answer of a process that holds the folder."""
        latest: dict[str, lag.SenderSnapshot] = {
            name: lag.SenderSnapshot(name, None) for name in self._sender_names.values()
        }
        for audit_address, _, answered_ms, encoded in self._store.last_answers():
            name = self._sender_names.get(audit_address)
            if name is None or answered_ms is None or encoded is None:
                continue
            answer = wire.decode(encoded)
            previous_ms = latest[name].answered_ms
            if answer.holds and (previous_ms is None or answered_ms > previous_ms):
                latest[name] = lag.SenderSnapshot(
                    name, answered_ms, answer.versions.get(LIST), answer.heard_ms
                )
        return [*latest.values()]

    # List service

    def _on_list(self, message: dict, source: str) -> bool:
        """Stores a version that the list service published, with the time at which it arrived here."""
        contents = self._contents
        contents.apply(bool(message.get("all")), message["targets"])
        version = Version(LIST, source, str(message.get("epoch") or ""), message["rev"], contents.digest())
        order = compare(version, self._latest_list) if self._latest_list else FIRST
        if order == SAME:
            return True
        changes = {
            name: state for name, state in contents.states.items() if self._latest_states.get(name) != state
        }
        changes.update(
            (name, "left")
            for name, state in self._latest_states.items()
            if name not in contents.states and state != "left"
        )
        self._latest_list = version
        self._latest_states = dict(contents.states)
        try:
            self._store.add_published(version, order, changes, self._clock.ms())
        except sqlite3.Error as problem:
            self._write_failed(problem)
        self._schedule_commit()
        return True


async def run_collector(config: CollectorConfig, machine: Machine, folder: str) -> None:
    """Runs a collector until it is stopped; folder holds its clock's state."""
    loop = asyncio.get_running_loop()
    store = Store(config.store, config.store_mb)
    collector = Collector(
        config,
        loop,
        store,
        machine,
        PersistentClock(machine, machine.folder(folder)),
        random.Random(machine.unique_name()),
    )
    collector.start()
    try:
        await collector.finished
    finally:
        store.close()
