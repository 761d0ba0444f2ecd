"""Deliberate faults in the audit, one at a time, and how many drawn days it takes to find each.

    python -m tests.fleet_mutants [--seeds N] [NAME ...]

Ends with status 1 if one is not found, or if the audit without a fault has a breach on these days. Slow (some
minutes on eight cores), so no part of the fast tests.
"""

import argparse
import functools
import logging
import sys
from concurrent.futures import ProcessPoolExecutor

import msgspec

from birchstack.emulator.rig.drawn import KINDS, play
from birchstack.fleet import audit_files, audit_log, records, trail
from birchstack.keeper import questions, store
from tests.mutants import Patch, no_op

MUTANTS = {}


def mutant(name, kinds=KINDS, hot=None):
    """kinds, hot: of the days that are drawn, where the fault shows only in rare ones."""

    def keep(function):
        MUTANTS[name] = function, kinds, hot
        return function

    return keep


@mutant("a turn is recorded after its calls")
def _(patch):
    old = audit_log.FleetAuditLog.turn

    def turn(self, calls, refused, failed):
        late, self.late = getattr(self, "late", None), (calls, refused, failed)
        if late:
            old(self, *late)

    patch.set(audit_log.FleetAuditLog, "turn", turn)


@mutant("an adoption is recorded when something more is adopted")
def _(patch):
    old = audit_log.FleetAuditLog._adopt

    def adopt(self, *words, **more):
        if words[0].kind != "list" or words[1] == "first":
            return old(self, *words, **more)
        late, self.late_list = getattr(self, "late_list", None), (words, more)
        self._versions["list"] = words[0]
        if late:
            old(self, *late[0], **late[1])

    patch.set(audit_log.FleetAuditLog, "_adopt", adopt)


@mutant("only the first call of a turn is recorded")
def _(patch):
    old = audit_log.FleetAuditLog.turn
    patch.set(audit_log.FleetAuditLog, "turn", lambda self, calls, *words: old(self, calls[:1], *words))


@mutant("a number is used twice")
def _(patch):
    old = trail.AuditTrail.encode_frame

    def frame(self, record):
        if self.last % 40 == 39:
            return records.encode_frame(self.last, self.chain, record)
        return old(self, record)

    patch.set(trail.AuditTrail, "encode_frame", frame)


@mutant("a gap is hidden")
def _(patch):
    old = audit_files.AuditFiles._store
    patch.set(
        audit_files.AuditFiles,
        "_store",
        lambda self, record: True if isinstance(record, records.Gap) else old(self, record),
    )


@mutant("a sender that is losing records passes for complete", ("disk full",))
def _(patch):
    old = store.Store.take

    def take(self, at, piece, *words):
        return old(self, at, msgspec.structs.replace(piece, failing=False), *words)

    patch.set(store.Store, "take", take)
    patch.set(audit_files.AuditFiles, "retry", no_op)


@mutant("folding forgets what the segment before had", ("keeper cut", "keeper killed"), True)
def _(patch):
    def add(self, more):
        self.tallies, self.to_ms = more.tallies, more.to_ms

    patch.set(trail.StretchAccumulator, "add_part", add)


@mutant("what is folded is taken without saying so", ("keeper cut", "keeper killed"), True)
def _(patch):
    old = store.Store._gap
    patch.set(
        store.Store,
        "_gap",
        lambda self, place, gap, now_ms, totals=False: None if totals else old(self, place, gap, now_ms),
    )


@mutant("a keeper that is killed keeps its place and not its records")
def _(patch):
    def rollback(self):
        if self.db.in_transaction:
            self.db.execute("ROLLBACK")
        places = self.places
        self._clear()
        self.places = places

    patch.set(store.Store, "rollback", rollback)


@mutant("rot is cut out and nobody is told", ("rot", "keeper cut"), True)
def _(patch):
    old = audit_files.AuditFiles.write

    def write(self, record, now_ms):
        self._recovered_gaps.clear()
        return old(self, record, now_ms)

    patch.set(audit_files.AuditFiles, "write", write)
    gap = store.Store._gap
    patch.set(
        store.Store,
        "_gap",
        lambda self, place, told, *words: (
            None if "are not there" in told.why else gap(self, place, told, *words)
        ),
    )


@mutant("a sender's clock is placed on the wrong side of the keeper's")
def _(patch):
    old = questions.Reader.at
    patch.set(questions.Reader, "at", lambda self, boot, steady_ms: old(self, boot, steady_ms) - 700.0)


@mutant("an endpoint that is back in still counts as out")
def _(patch):
    old = questions.Reader.after

    def after(self, endpoint, out_at, epoch=None, grace_ms=0.0):
        told = old(self, endpoint, out_at, epoch, grace_ms)
        if not told.in_ms:
            return told
        more = [each for each in self._calls("c.endpoint=?", endpoint) if each.at_ms > told.out_ms]
        return msgspec.structs.replace(told, calls=more)

    patch.set(questions.Reader, "after", after)


@mutant("a lost folder goes on as if it were the old one")
def _(patch):
    old = store.Store._other_trail

    def other(self, place, piece, now_ms):
        old(self, place, piece, now_ms)
        place.lost = None

    patch.set(store.Store, "_other_trail", other)


def find(name, seeds):
    """The first seed whose day finds the fault, and what it says; None if none does."""
    logging.disable(logging.CRITICAL)
    patch, kinds, hot = Patch(), KINDS, None
    if name:
        plant, kinds, hot = MUTANTS[name]
        plant(patch)
    try:
        for seed in seeds:
            try:
                day = play(seed, 20, kinds, hot)
            except Exception as problem:
                return seed, f"{type(problem).__name__}: {problem}"
            if day.breaches:
                return seed, day.breaches[0]
    finally:
        patch.undo()
    return None


def main():
    told = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    told.add_argument("--seeds", type=int, default=300)
    told.add_argument("--first", type=int, default=5000)
    told.add_argument("names", nargs="*")
    told = told.parse_args()
    names, bad = [*(told.names or MUTANTS), ""], 0
    seeds = range(told.first, told.first + told.seeds)
    with ProcessPoolExecutor(max_tasks_per_child=1) as pool:
        for name, found in zip(names, pool.map(functools.partial(find, seeds=seeds), names), strict=True):
            bad += (found is None) == bool(name)
            if found:
                print(f"{name or 'no fault'}: day {found[0] - told.first + 1}: {found[1][:120]}", flush=True)
            else:
                print(f"{name or 'no fault'}: nothing found on {told.seeds} days", flush=True)
    return 1 if bad else 0


if __name__ == "__main__":
    sys.exit(main())
