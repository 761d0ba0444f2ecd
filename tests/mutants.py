"""Deliberate faults in the sender, one at a time, and how many drawn days the judge takes to find each.

    python -m tests.mutants [--seeds N] [NAME ...]

Ends with status 1 if one is not found, or if the sender without a fault breaks a rule on days drawn alike.
Slow (a minute on eight cores), so no part of the fast tests. Days are drawn from all kinds of trouble, but
for the few faults that need two rare kinds together: there from those, as the table says.
"""

import argparse
import contextlib
import dataclasses
import functools
import sys
from concurrent.futures import ProcessPoolExecutor

import msgspec

from birchstack import decide, settings, state
from birchstack import interface as our
from birchstack.emulator.scenario import KINDS, Cold, DocumentType, Group, Scenario, SenderSide, draw
from birchstack.emulator.virtual import play
from birchstack.net import calls, discovery, front, ledger, notices, sender

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
    """Sets attributes, and puts the old ones back."""

    def __init__(self):
        self._old = []

    def set(self, where, name, value):
        self._old.append((where, name, where.__dict__.get(name, self)))
        setattr(where, name, value)

    def undo(self):
        for where, name, old in reversed(self._old):
            delattr(where, name) if old is self else setattr(where, name, old)


def mutant(name, base=DAY, kinds=KINDS):
    def keep(function):
        MUTANTS[name] = function, base, kinds
        return function

    return keep


def never(*words, **more):
    return None


@mutant("202 is written before the ledger holds the document")
def _(patch):
    old = sender.Node._settle

    def settle(self, now):
        for handed in self._fresh.values():
            handed.reply(front.TAKEN)
        old(self, now)

    patch.set(sender.Node, "_settle", settle)


@mutant("a told wait is ignored")
def _(patch):
    old = calls.kind_of
    patch.set(calls, "kind_of", lambda answer: (*old(answer)[:2], 0.0))


@mutant("a drain is ignored")
def _(patch):
    patch.set(discovery, "STATES", {**discovery.STATES, "leaving": our.READY})


@mutant("a call that timed out is left open beside the next")
def _(patch):
    old = calls.Line._timed_out

    def timed_out(self):
        self.close = never
        old(self)

    patch.set(calls.Line, "_timed_out", timed_out)


@mutant("a time-out proves that nothing ran")
def _(patch):
    patch.set(decide, "NEVER_RAN", (*decide.NEVER_RAN, our.TIMEOUT))
    patch.set(sender, "NEVER_RAN", (*sender.NEVER_RAN, our.TIMEOUT))


@mutant("an error proves that nothing ran")
def _(patch):
    patch.set(decide, "NEVER_RAN", (*decide.NEVER_RAN, our.ERROR))


@mutant("a reset proves that nothing ran")
def _(patch):
    patch.set(decide, "NEVER_RAN", (*decide.NEVER_RAN, our.RESET))


@mutant("the window for repeats is off", BRIEF)
def _(patch):
    patch.set(state.Document, "known_until", lambda self: float("inf"))


@mutant("the window of a destination is off", TIGHT)
def _(patch):
    for name in ("window", "half"):
        patch.set(decide.Destination, name, property(lambda self: 1e9, never))


@mutant("the bound on calls out is off", TIGHT)
def _(patch):
    patch.set(decide.Sender, "_out", property(lambda self: 0, never))


@mutant("notices are forgotten")
def _(patch):
    patch.set(notices.Notices, "tell", never)


@mutant("the expiry is ignored")
def _(patch):
    old = decide.Sender.document

    def document(self, now, given):
        old(self, now, dataclasses.replace(given, remaining_ms=given.remaining_ms * 3.0))

    patch.set(decide.Sender, "document", document)
    patch.set(sender.Node, "_look_for_overdue", never)


@mutant("bodies lose their last byte")
def _(patch):
    old = calls.Line.write

    def write(self):
        self._call.body = self._call.body[:-1]
        old(self)

    patch.set(calls.Line, "write", write)


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
        owed.sent, owed.out = owed.sent + 1, (zone, when)

    patch.set(ledger.Ledger, "call", call)


@mutant("a restart forgets every second document")
def _(patch):
    old = ledger.Ledger._recover

    def recover(self):
        old(self)
        for doc_id in [*self.owed][::2]:
            del self.owed[doc_id]

    patch.set(ledger.Ledger, "_recover", recover)


@mutant("a restart takes what was out for not sent")
def _(patch):
    old = ledger.Ledger._recover

    def recover(self):
        old(self)
        for owed in self.owed.values():
            owed.doubt, owed.out = [], None

    patch.set(ledger.Ledger, "_recover", recover)


@mutant("nothing is ever ill: no trials, no ramp")
def _(patch):
    patch.set(decide.Sender, "_falls_ill", never)
    patch.set(decide.Sender, "_ramped", lambda *words: True)


@mutant("an endpoint that is back gets no ramp")
def _(patch):
    patch.set(decide.Sender, "_ramped", lambda *words: True)


@mutant("each endpoint that is back is ramped for itself, its first call at once")
def _(patch):
    old = decide.Sender._ramped

    def ramped(self, now, dest, route, ep):
        route.ramp = ep.__dict__.setdefault("ramp", state.Meter(now))
        route.ramp.credit = 1.0 if now - (ep.back_at or 0.0) < 100.0 else route.ramp.credit
        return old(self, now, dest, route, ep)

    patch.set(decide.Sender, "_ramped", ramped)


@mutant("the ramp has no share of warmth")
def _(patch):
    old = decide.Sender._ramped

    def ramped(self, *words):
        told, self._set = self._set, dataclasses.replace(self._set, cold_share=1.0)
        try:
            return old(self, *words)
        finally:
            self._set = told

    patch.set(decide.Sender, "_ramped", ramped)


@mutant("what a route's endpoints failed together makes none of them ill, and none cold", MANY, ("refusing",))
def _(patch):
    patch.set(decide.Route, "row", property(lambda self: 0, never))


@mutant("what is cold is forgotten with the process", COLD, ("shut_told", "kill", "sigterm"))
def _(patch):
    patch.set(sender.Node, "save_recovery", never)


@mutant("documents of one key go out of turn")
def _(patch):
    patch.set(state.Keyline, "allows", lambda *words: True)


@mutant("a key in doubt does not rest", KEYED)
def _(patch):
    patch.set(state.Keyline, "rest_until", property(lambda self: 0.0, never))


@mutant("what is in doubt is rejected, not abandoned")
def _(patch):
    def finish(self, doc):
        self._host.reject(doc.id, 1000.0)
        self._end(doc)

    patch.set(decide.Sender, "_finish", finish)


@mutant("clients are answered half a second late")
def _(patch):
    old = front.Handed.reply

    def reply(self, *words, **more):
        self._client._front._loop.call_later(0.5, functools.partial(old, self, *words, **more))

    patch.set(front.Handed, "reply", reply)


@mutant("repeats cost nothing and have no bound")
def _(patch):
    patch.set(decide, "TOKEN_PER_TRANSMISSION", 1.0)
    patch.set(decide, "SPARE_REPEATS", 1e6)
    patch.set(decide, "LONGEST_PAUSE_MS", 50.0)
    patch.set(decide.Sender, "_falls_ill", never)


@mutant("the most transmissions are not heeded", TIGHT)
def _(patch):
    old = settings.decode

    def decode(words):
        return our.Settings(
            **{
                name: getattr(old(words), name)
                for name in our.Settings.__slots__
                if name != "max_transmissions"
            },
            max_transmissions=99,
        )

    patch.set(settings, "decode", decode)


@mutant("SIGTERM waits for everything that is owed", DAY, ("sigterm", "silent"))
def _(patch):
    patch.set(sender, "CALL_S", 8.0)
    patch.set(sender, "END_S", 9.0)


@mutant("one outcome in three hundred ends in an exception")
def _(patch):
    old, count = decide.Sender._learn, [0]

    def learn(self, *words):
        count[0] += 1
        if count[0] % 300 == 0:
            raise ZeroDivisionError
        old(self, *words)

    patch.set(decide.Sender, "_learn", learn)


@mutant("an end is told twice, and differently")
def _(patch):
    old = sender.Node._owe_notice

    def owe(self, doc_id, result, wait_ms):
        old(self, doc_id, result, wait_ms)
        self._loop.call_later(1.0, self._notices.tell, doc_id, "dead", 0.0)

    patch.set(sender.Node, "_owe_notice", owe)


@mutant("bad clients are left alone")
def _(patch):
    patch.set(front.Client, "overdue", never)


@mutant("what the full disk did not take is taken on all the same", DAY, ("disk_full", "kill", "vanish"))
def _(patch):
    old, call = ledger.Ledger.take, ledger.Ledger.call

    def take(self, doc_id, kind, destination, key, expiry, body, repeat_key=None):
        try:
            return old(self, doc_id, kind, destination, key, expiry, body, repeat_key)
        except OSError:
            self.owed[doc_id] = ledger.Owed(doc_id, kind, destination, key, expiry, 0, 0, repeat_key, body)
            return self.owed[doc_id]

    def note_call(self, owed, zone, when):
        with contextlib.suppress(OSError):
            call(self, owed, zone, when)

    patch.set(ledger.Ledger, "take", take)
    patch.set(ledger.Ledger, "call", note_call)


def hunt(name, seeds):
    """How many days it took, and the rule that was broken; 0 days: not found."""
    patch = Patch()
    apply, base, kinds = MUTANTS[name] if name else (never, DAY, KINDS)
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
    words = argparse.ArgumentParser(description=__doc__.split("\n")[0])
    words.add_argument("names", nargs="*", help="parts of names; all by default")
    words.add_argument("--seeds", type=int, default=60)
    told = words.parse_args()
    names = [name for name in MUTANTS if not told.names or any(part in name for part in told.names)]
    missed = 0
    print("| fault | troubles drawn from | days until found | rules broken |\n| --- | --- | --- | --- |")
    with ProcessPoolExecutor() as pool:
        clean = pool.submit(hunt, "", told.seeds)
        for name, (days, rules) in zip(names, pool.map(hunt, names, [told.seeds] * len(names)), strict=True):
            missed += not days
            kinds = MUTANTS[name][2]
            drawn = "all kinds" if kinds == KINDS else ", ".join(kinds)
            print(f"| {name} | {drawn} | {days or 'NOT FOUND'} | {', '.join(rules)} |", flush=True)
        days, rules = clean.result()
    print(
        f"\n{len(names) - missed} of {len(names)} found within {told.seeds} days; without a fault: "
        + (f"BROKEN on day {days}: {rules}" if days else "no rule broken on the same days")
    )
    return 1 if missed or days else 0


if __name__ == "__main__":
    sys.exit(main())
