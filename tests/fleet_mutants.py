"""Deliberate faults in the audit, one at a time, and how many generated days it takes to detect each.

    python -m tests.fleet_mutants [--seeds N] [NAME ...]

Ends with status 1 if one is not detected, or if the audit without a fault has a breach on these days. Slow
(some minutes on eight cores), so not part of the fast tests.
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
    """Registers a fault. kinds, hot: restrict the generated days where only rare ones reveal the fault."""

    def register(function):
        MUTANTS[name] = function, kinds, hot
        return function

    return register


@mutant("a turn is recorded after its calls")
def _(patch):
    original = audit_log.FleetAuditLog.record_turn

    def turn(self, calls, refused, failed):
        delayed = getattr(self, "delayed", None)
        self.delayed = calls, refused, failed
        if delayed:
            original(self, *delayed)

    patch.set(audit_log.FleetAuditLog, "record_turn", turn)


@mutant("an adoption is recorded when something more is adopted")
def _(patch):
    original = audit_log.FleetAuditLog._adopt

    def adopt(self, *args, **options):
        if args[0].kind != "list" or args[1] == "first":
            return original(self, *args, **options)
        delayed = getattr(self, "delayed_list", None)
        self.delayed_list = args, options
        self._versions["list"] = args[0]
        if delayed:
            original(self, *delayed[0], **delayed[1])

    patch.set(audit_log.FleetAuditLog, "_adopt", adopt)


@mutant("only the first call of a turn is recorded")
def _(patch):
    original = audit_log.FleetAuditLog.record_turn
    patch.set(
        audit_log.FleetAuditLog, "record_turn", lambda self, calls, *args: original(self, calls[:1], *args)
    )


@mutant("a number is used twice")
def _(patch):
    original = trail.AuditTrail.encode_frame

    def frame(self, record):
        if self.last % 40 == 39:
            return records.encode_frame(self.last, self.chain, record)
        return original(self, record)

    patch.set(trail.AuditTrail, "encode_frame", frame)


@mutant("a gap is hidden")
def _(patch):
    original = audit_files.AuditFiles._store
    patch.set(
        audit_files.AuditFiles,
        "_store",
        lambda self, record: True if isinstance(record, records.Gap) else original(self, record),
    )


@mutant("a sender that is losing records counts as complete", ("disk full",))
def _(patch):
    original = store.Store.store_answer

    def store_answer(self, address, answer, *args):
        return original(self, address, msgspec.structs.replace(answer, failing=False), *args)

    patch.set(store.Store, "store_answer", store_answer)
    patch.set(audit_files.AuditFiles, "retry", no_op)


@mutant("folding drops the totals of the segment before", ("keeper cut", "keeper killed"), True)
def _(patch):
    def add(self, more):
        self.tallies, self.to_ms = more.tallies, more.to_ms

    patch.set(trail.StretchAccumulator, "add_part", add)


@mutant("folded records are stored without a gap", ("keeper cut", "keeper killed"), True)
def _(patch):
    original = store.Store._add_gap
    patch.set(
        store.Store,
        "_add_gap",
        lambda self, cursor, gap, now_ms, totals=False: (
            None if totals else original(self, cursor, gap, now_ms)
        ),
    )


@mutant("a rollback keeps the cursors and drops the records")
def _(patch):
    def rollback(self):
        if self.db.in_transaction:
            self.db.execute("ROLLBACK")
        cursors = self.cursors
        self._clear()
        self.cursors = cursors

    patch.set(store.Store, "rollback", rollback)


@mutant("damaged records are removed without a gap", ("rot", "keeper cut"), True)
def _(patch):
    original_write = audit_files.AuditFiles.write

    def write(self, record, now_ms):
        self._recovered_gaps.clear()
        return original_write(self, record, now_ms)

    patch.set(audit_files.AuditFiles, "write", write)
    original_gap = store.Store._add_gap
    patch.set(
        store.Store,
        "_add_gap",
        lambda self, cursor, gap, *args: (
            None if "are not there" in gap.why else original_gap(self, cursor, gap, *args)
        ),
    )


@mutant("a sender's clock offset is 700 ms too low")
def _(patch):
    original = questions.StoreReader.to_collector_ms
    patch.set(
        questions.StoreReader,
        "to_collector_ms",
        lambda self, boot, steady_ms: original(self, boot, steady_ms) - 700.0,
    )


@mutant("an endpoint that was added again still counts as removed")
def _(patch):
    original = questions.StoreReader.calls_after_removal

    def calls_after_removal(self, endpoint, removed_by, epoch=None, grace_ms=0.0):
        answer = original(self, endpoint, removed_by, epoch, grace_ms)
        if not answer.in_ms:
            return answer
        calls = [call for call in self._calls("c.endpoint=?", endpoint) if call.at_ms > answer.out_ms]
        return msgspec.structs.replace(answer, calls=calls)

    patch.set(questions.StoreReader, "calls_after_removal", calls_after_removal)


@mutant("the loss of a folder is not recorded as a gap")
def _(patch):
    original = store.Store._switch_trail

    def switch_trail(self, cursor, answer, now_ms):
        original(self, cursor, answer, now_ms)
        cursor.lost_folder = None

    patch.set(store.Store, "_switch_trail", switch_trail)


def find(name, seeds):
    """Returns the first seed whose day detects the fault, and its breach; None if no day does."""
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
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--seeds", type=int, default=300)
    parser.add_argument("--first", type=int, default=5000)
    parser.add_argument("names", nargs="*")
    options = parser.parse_args()
    names = [*(options.names or MUTANTS), ""]
    failures = 0
    seeds = range(options.first, options.first + options.seeds)
    with ProcessPoolExecutor(max_tasks_per_child=1) as pool:
        for name, found in zip(names, pool.map(functools.partial(find, seeds=seeds), names), strict=True):
            failures += (found is None) == bool(name)
            if found:
                day = found[0] - options.first + 1
                print(f"{name or 'no fault'}: day {day}: {found[1][:120]}", flush=True)
            else:
                print(f"{name or 'no fault'}: nothing found on {options.seeds} days", flush=True)
    return 1 if failures else 0


if __name__ == "__main__":
    sys.exit(main())
