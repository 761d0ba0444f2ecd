"""Kills real processes with a backlog by SIGKILL while they append, flush, merge, drain and remove files.

    python -m tests.backlog_kills [--kills N] [--seed N]

Each process continues where the one before it was killed: it appends, moves documents into its own ledger (a
file), ends expired documents, and steps. Prints kills, documents taken, lost, sent twice and out of order.
"""

import argparse
import os
import random
import signal
import subprocess
import sys
import tempfile
import time

from birchstack.backlog.plan import Sizes
from birchstack.backlog.settings import Settings
from birchstack.backlog.store import Backlog
from birchstack.ledger.records import Kept
from birchstack.net.machine import Folder

SIZES = Sizes(segment_bytes=20_000, flush_documents=100, unindexed_bytes=40_000, merge_fan_in=3)
ROOM = Settings(window=1, bytes=1 << 30)
DESTINATIONS = 5
NO_EXPIRY = 1e9  # later than any document's expiry in a run


def read_lines(path, name):
    """Returns the complete lines of a file, as lists of words."""
    try:
        with open(os.path.join(path, name), encoding="ascii") as file:
            return [line.split() for line in file.read().split("\n")[:-1]]
    except FileNotFoundError:
        return []


def open_backlog(path):
    folder = os.path.join(path, "folder")
    os.makedirs(folder, exist_ok=True)
    store = Backlog(Folder(folder), ROOM, 0.0, SIZES)
    store.drop([words[1] for words in read_lines(path, "own")])
    return store


def run_child(path, seed):
    """Uses the backlog until the process is killed; files note the documents begun, taken and moved."""
    store = open_backlog(path)
    generator = random.Random(seed)
    files = {
        name: os.open(os.path.join(path, name), os.O_WRONLY | os.O_CREAT | os.O_APPEND)
        for name in ("own", "taken", "begun")
    }
    number = max((int(words[1]) for words in read_lines(path, "begun")), default=0)
    print("ready", flush=True)
    while True:
        for _ in range(generator.randrange(40)):
            number += 1
            os.write(files["begun"], b"b %d\n" % number)
            expiry = float(number + 300) if generator.random() < 0.2 else NO_EXPIRY
            store.append(
                Kept(str(number), "t", number % DESTINATIONS, None, expiry, bytes(generator.randrange(900)))
            )
            os.write(files["taken"], b"t %d\n" % number)
        if generator.random() < 0.5:
            destination = generator.randrange(DESTINATIONS)
            documents = store.read(destination, generator.choice([5, 60]))
            os.write(files["own"], b"".join(b"m %s\n" % each.id.encode() for each in documents))
            store.moved(destination, len(documents))
        expired = [each.id for each in store.due(float(number), 50)]
        os.write(files["own"], b"".join(b"e %s\n" % each.encode() for each in expired))
        store.ended(expired)
        for _ in range(generator.randrange(30)):
            store.step()


def run_kills(kills, seed):
    """Kills so many processes, one after the other; returns the counts of the result by name."""
    generator = random.Random(seed)
    with tempfile.TemporaryDirectory() as path:
        for each in range(kills):
            command = [
                sys.executable,
                "-m",
                "tests.backlog_kills",
                "--child",
                path,
                "--seed",
                str(seed + each),
            ]
            process = subprocess.Popen(command, stdout=subprocess.PIPE)
            process.stdout.readline()  # the child has opened the backlog
            time.sleep(generator.random() * 0.06)
            process.send_signal(signal.SIGKILL)
            process.communicate()
        store = open_backlog(path)
        found = []
        for destination in [*store.destinations()]:
            while store.waiting(destination)[0]:
                documents = store.read(destination, 64)
                found += [each.id for each in documents]
                store.moved(destination, len(documents))
        own = read_lines(path, "own")
        moved = [words[1] for words in own if words[0] == "m"] + found
        all_ids = [words[1] for words in own] + found
        out_of_order = sum(
            a > b
            for destination in range(DESTINATIONS)
            for numbers in [[int(each) for each in moved if int(each) % DESTINATIONS == destination]]
            for a, b in zip(numbers, numbers[1:], strict=False)
        )
        taken = {words[1] for words in read_lines(path, "taken")}
        return {
            "kills": kills,
            "taken": len(taken),
            "lost": len(taken - {*all_ids}),
            "corrupted": store.lost,
            "twice": len(all_ids) - len({*all_ids}),
            "out of order": out_of_order,
            "still there": len(found),
            "left": len(store),
        }


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--child")
    parser.add_argument("--kills", type=int, default=100)
    parser.add_argument("--seed", type=int, default=1)
    options = parser.parse_args()
    if options.child:
        run_child(options.child, options.seed)
    counts = run_kills(options.kills, options.seed)
    print("; ".join(f"{value:,} {name}" for name, value in counts.items()))
    return int(any(counts[name] for name in ("lost", "corrupted", "twice", "out of order", "left")))


if __name__ == "__main__":
    sys.exit(main())
