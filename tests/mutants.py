"""Mutation tests: deliberate faults in the sender, one at a time, and how many random days find each.

    python -m tests.mutants [--seeds N] [NAME ...]

Exits with status 1 if a fault is not found, or if the unchanged sender breaks a rule on days drawn the same
way. Takes a minute on eight cores, so it is not part of the fast tests. Days are drawn from all kinds of
trouble, except for the few faults that need two rare kinds together; the table names the kinds.
"""

import argparse
import contextlib
import dataclasses
import functools
import sys
from concurrent.futures import ProcessPoolExecutor

import msgspec

from birchstack import decide, interface, settings, state
from birchstack.emulator.scenario import KINDS, Cold, DocumentType, Group, Scenario, SenderSide, draw
from birchstack.emulator.virtual import play
from birchstack.net import calls, discovery, front, ledger, notices, sender, submission

DAY = Scenario(seconds=25.0)
TIGHT = msgspec.structs.replace(DAY, sender=SenderSide(slots=8, max_transmissions=4))
KEYED = msgspec.structs.replace(
    DAY,
    types=(
        DocumentType(name="sync", effect="replayable"),
        DocumentType(name="turn", effect="replayable", in_order=True, keys=4),
    ),
)
BRIEF = msgspec.structs.replace(
    DAY,
    types=(
        DocumentType(name="sync", effect="replayable"),
        DocumentType(name="stock", effect="numbered", window_ms=1000.0),
    ),
)
MANY = msgspec.structs.replace(DAY, senders=10, destinations=(Group(count=3, endpoints=10),))
COLD = msgspec.structs.replace(
    DAY, senders=8, destinations=(Group(count=2, endpoints=1),), cold=Cold(warm_up_ms=12000.0)
)
MUTANTS = {}


class Patch:
    """Sets attributes and restores them on undo."""

    def __init__(self):
        self._old = []

    def set(self, target, name, value):
        self._old.append((target, name, target.__dict__.get(name, self)))
        setattr(target, name, value)

    def undo(self):
        for target, name, old in reversed(self._old):
            delattr(target, name) if old is self else setattr(target, name, old)


def mutant(name, base=DAY, kinds=KINDS):
    """Registers a function that applies a fault, with the scenario and the kinds of trouble to draw from."""

    def register(function):
        MUTANTS[name] = function, base, kinds
        return function

    return register


def no_op(*arguments, **keywords):
    return None


@mutant("202 is written before the ledger holds the document")
def _(patch):
    old = sender.Node._commit

    def settle(self, now):
        for request in self._pending.values():
            request.reply(submission.ACCEPTED)
        old(self, now)

    patch.set(sender.Node, "_commit", settle)


@mutant("a requested wait is ignored")
def _(patch):
    old = calls.classify_response
    patch.set(calls, "classify_response", lambda answer: (*old(answer)[:2], 0.0))


@mutant("a drain is ignored")
def _(patch):
    patch.set(discovery, "STATES", {**discovery.STATES, "leaving": interface.READY})


@mutant("a call that timed out is left open beside the next")
def _(patch):
    old = calls.EndpointConnection._timed_out

    def timed_out(self):
        self.close = no_op
        old(self)

    patch.set(calls.EndpointConnection, "_timed_out", timed_out)


@mutant("a time-out counts as proof that nothing ran")
def _(patch):
    patch.set(decide, "NEVER_RAN", (*decide.NEVER_RAN, interface.TIMEOUT))
    patch.set(sender, "NEVER_RAN", (*sender.NEVER_RAN, interface.TIMEOUT))


@mutant("an error counts as proof that nothing ran")
def _(patch):
    patch.set(decide, "NEVER_RAN", (*decide.NEVER_RAN, interface.ERROR))


@mutant("a reset counts as proof that nothing ran")
def _(patch):
    patch.set(decide, "NEVER_RAN", (*decide.NEVER_RAN, interface.RESET))


@mutant("the deduplication window is not observed", BRIEF)
def _(patch):
    patch.set(state.Document, "window_end", lambda self: float("inf"))


@mutant("the concurrency window of a destination is off", TIGHT)
def _(patch):
    for name in ("window", "half_slots"):
        patch.set(decide.Destination, name, property(lambda self: 1e9, no_op))


@mutant("the bound on calls in flight is off", TIGHT)
def _(patch):
    patch.set(decide.Sender, "_in_flight", property(lambda self: 0, no_op))


@mutant("notices are not sent")
def _(patch):
    patch.set(notices.Notices, "queue", no_op)


@mutant("the expiry is ignored")
def _(patch):
    old = decide.Sender.document

    def document(self, now, given):
        old(self, now, dataclasses.replace(given, remaining_ms=given.remaining_ms * 3.0))

    patch.set(decide.Sender, "document", document)
    patch.set(sender.Node, "_end_overdue", no_op)


@mutant("bodies lose their last byte")
def _(patch):
    old = calls.EndpointConnection.write

    def write(self):
        self._call.body = self._call.body[:-1]
        old(self)

    patch.set(calls.EndpointConnection, "write", write)


@mutant("one call in a hundred goes to another destination")
def _(patch):
    old, count = sender.Node.transmit, [0]

    def transmit(self, doc_id, endpoint, timeout_ms):
        count[0] += 1
        old(self, doc_id, next(iter(self._calls.addresses)) if count[0] % 100 == 0 else endpoint, timeout_ms)

    patch.set(sender.Node, "transmit", transmit)


@mutant("the ledger does not note calls")
def _(patch):
    def call(self, owed, zone, when):
        owed.sent, owed.in_flight = owed.sent + 1, (zone, when)

    patch.set(ledger.Ledger, "record_transmission", call)


@mutant("a restart forgets every second document")
def _(patch):
    old = ledger.Ledger._recover

    def recover(self):
        old(self)
        for doc_id in [*self.entries][::2]:
            del self.entries[doc_id]

    patch.set(ledger.Ledger, "_recover", recover)


@mutant("a restart treats transmissions in flight as not sent")
def _(patch):
    old = ledger.Ledger._recover

    def recover(self):
        old(self)
        for owed in self.entries.values():
            owed.in_doubt, owed.in_flight = [], None

    patch.set(ledger.Ledger, "_recover", recover)


@mutant("no endpoint is ever ejected: no probes, no warm-up")
def _(patch):
    patch.set(decide.Sender, "_eject", no_op)
    patch.set(decide.Sender, "_warm_up_allows", lambda *arguments: True)


@mutant("an endpoint that returns gets no warm-up")
def _(patch):
    patch.set(decide.Sender, "_warm_up_allows", lambda *arguments: True)


@mutant("each endpoint that returns warms up for itself, its first call at once")
def _(patch):
    old = decide.Sender._warm_up_allows

    def warm_up_allows(self, now, destination, route, endpoint):
        route.warm_up = endpoint.__dict__.setdefault("warm_up", state.TokenBucket(now))
        route.warm_up.tokens = 1.0 if now - (endpoint.returned_at or 0.0) < 100.0 else route.warm_up.tokens
        return old(self, now, destination, route, endpoint)

    patch.set(decide.Sender, "_warm_up_allows", warm_up_allows)


@mutant("the warm-up ignores the growing share")
def _(patch):
    old = decide.Sender._warm_up_allows

    def warm_up_allows(self, *arguments):
        saved, self._settings = self._settings, dataclasses.replace(self._settings, cold_share=1.0)
        try:
            return old(self, *arguments)
        finally:
            self._settings = saved

    patch.set(decide.Sender, "_warm_up_allows", warm_up_allows)


@mutant("failures of several endpoints of a route eject none, and leave none cold", MANY, ("refusing",))
def _(patch):
    patch.set(decide.Route, "failure_run", property(lambda self: 0, no_op))


@mutant("cold endpoints are forgotten when the process ends", COLD, ("shut_told", "kill", "sigterm"))
def _(patch):
    patch.set(sender.Node, "save_recovery", no_op)


@mutant("documents of one key are sent out of order")
def _(patch):
    patch.set(state.KeyQueue, "allows", lambda *arguments: True)


@mutant("a key does not rest after a transmission that may have run", KEYED)
def _(patch):
    patch.set(state.KeyQueue, "rest_until", property(lambda self: 0.0, no_op))


@mutant("a document in doubt is rejected, not abandoned")
def _(patch):
    def finish(self, document):
        self._host.reject(document.id, 1000.0)
        self._end(document)

    patch.set(decide.Sender, "_finish", finish)


@mutant("clients are answered half a second late")
def _(patch):
    old = submission.ClientRequest.reply

    def reply(self, *arguments, **keywords):
        self._client._server._loop.call_later(0.5, functools.partial(old, self, *arguments, **keywords))

    patch.set(submission.ClientRequest, "reply", reply)


@mutant("retries cost nothing and have no bound")
def _(patch):
    patch.set(decide, "RETRY_TOKENS_PER_TRANSMISSION", 1.0)
    patch.set(decide, "SPARE_RETRIES_PER_S", 1e6)
    patch.set(decide, "MAX_BACKOFF_MS", 50.0)
    patch.set(decide.Sender, "_eject", no_op)


@mutant("the bound on transmissions is not observed", TIGHT)
def _(patch):
    old = settings.decode

    def decode(config):
        return interface.Settings(
            **{
                name: getattr(old(config), name)
                for name in interface.Settings.__slots__
                if name != "max_transmissions"
            },
            max_transmissions=99,
        )

    patch.set(settings, "decode", decode)


@mutant("SIGTERM waits for all outstanding documents", DAY, ("sigterm", "silent"))
def _(patch):
    patch.set(sender, "START_CALLS_S", 8.0)
    patch.set(sender, "FINISH_CALLS_S", 9.0)


@mutant("one outcome in three hundred raises an exception")
def _(patch):
    old, count = decide.Sender._learn, [0]

    def learn(self, *arguments):
        count[0] += 1
        if count[0] % 300 == 0:
            raise ZeroDivisionError
        old(self, *arguments)

    patch.set(decide.Sender, "_learn", learn)


@mutant("the end of a document is notified twice, with different results")
def _(patch):
    old = sender.Node._end_with_notice

    def owe(self, doc_id, result, wait_ms):
        old(self, doc_id, result, wait_ms)
        self._loop.call_later(1.0, self._notices.queue, doc_id, "dead", 0.0)

    patch.set(sender.Node, "_end_with_notice", owe)


@mutant("misbehaving clients are never disconnected")
def _(patch):
    patch.set(front.ClientConnection, "on_deadline", no_op)


@mutant("a document that a full disk did not store is accepted", DAY, ("disk_full", "kill", "vanish"))
def _(patch):
    old, call = ledger.Ledger.add, ledger.Ledger.record_transmission

    def take(self, doc_id, kind, destination, key, expiry, body, repeat_key=None):
        try:
            return old(self, doc_id, kind, destination, key, expiry, body, repeat_key)
        except OSError:
            self.entries[doc_id] = ledger.LedgerEntry(
                doc_id, kind, destination, key, expiry, 0, 0, repeat_key, body
            )
            return self.entries[doc_id]

    def note_call(self, owed, zone, when):
        with contextlib.suppress(OSError):
            call(self, owed, zone, when)

    patch.set(ledger.Ledger, "add", take)
    patch.set(ledger.Ledger, "record_transmission", note_call)


def hunt(name, seeds):
    """Returns how many days it took to find a fault (0: not found) and the rules that were broken."""
    patch = Patch()
    apply, base, kinds = MUTANTS[name] if name else (no_op, DAY, KINDS)
    apply(patch)
    try:
        for seed in range(seeds):
            broken = play(draw(seed, base, kinds=kinds), seed).breaches
            if broken:
                return seed + 1, sorted({breach.rule for breach in broken})
        return 0, []
    finally:
        patch.undo()


def main():
    parser = argparse.ArgumentParser(description=__doc__.split("\n")[0])
    parser.add_argument("names", nargs="*", help="parts of names; all by default")
    parser.add_argument("--seeds", type=int, default=60)
    options = parser.parse_args()
    names = [name for name in MUTANTS if not options.names or any(part in name for part in options.names)]
    missed = 0
    print("| fault | troubles drawn from | days until found | rules broken |\n| --- | --- | --- | --- |")
    with ProcessPoolExecutor() as pool:
        clean = pool.submit(hunt, "", options.seeds)
        for name, (days, rules) in zip(
            names, pool.map(hunt, names, [options.seeds] * len(names)), strict=True
        ):
            missed += not days
            kinds = MUTANTS[name][2]
            drawn = "all kinds" if kinds == KINDS else ", ".join(kinds)
            print(f"| {name} | {drawn} | {days or 'NOT FOUND'} | {', '.join(rules)} |", flush=True)
        days, rules = clean.result()
    print(
        f"\n{len(names) - missed} of {len(names)} found within {options.seeds} days; without a fault: "
        + (f"BROKEN on day {days}: {rules}" if days else "no rule broken on the same days")
    )
    return 1 if missed or days else 0


if __name__ == "__main__":
    sys.exit(main())
