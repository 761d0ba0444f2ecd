"""Real processes with a backlog, ended by SIGKILL while they fill, seal, merge, drain and remove.

    python -m tests.backlog_kills [--kills N] [--seed N]

Each process goes on where the one before it was ended: it appends, moves runs into a ledger of its own (a
file), ends what expires, and steps. Told at the end: kills, documents taken, lost, sent twice, out of order.
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

SIZES, ROOM = Sizes(sealed=20_000, flushed=100, unmarked=40_000, fan=3), Settings(window=1, bytes=1 << 30)
DOWN, FAR = 5, 1e9


def lines(path, name):
    try:
        with open(os.path.join(path, name), encoding="ascii") as file:
            return [line.split() for line in file.read().split("\n")[:-1]]
    except FileNotFoundError:
        return []


def opened(path):
    folder = os.path.join(path, "folder")
    os.makedirs(folder, exist_ok=True)
    store = Backlog(Folder(folder), ROOM, 0.0, SIZES)
    store.drop([words[1] for words in lines(path, "own")])
    return store


def child(path, seed):
    store, chance = opened(path), random.Random(seed)
    files = {
        name: os.open(os.path.join(path, name), os.O_WRONLY | os.O_CREAT | os.O_APPEND)
        for name in ("own", "taken", "begun")
    }
    number = max((int(words[1]) for words in lines(path, "begun")), default=0)
    print("ready", flush=True)
    while True:
        for _ in range(chance.randrange(40)):
            number += 1
            os.write(files["begun"], b"b %d\n" % number)
            expiry = float(number + 300) if chance.random() < 0.2 else FAR
            store.append(Kept(str(number), "t", number % DOWN, None, expiry, bytes(chance.randrange(900))))
            os.write(files["taken"], b"t %d\n" % number)
        if chance.random() < 0.5:
            destination = chance.randrange(DOWN)
            got = store.read(destination, chance.choice([5, 60]))
            os.write(files["own"], b"".join(b"m %s\n" % each.id.encode() for each in got))
            store.moved(destination, len(got))
        gone = [each.id for each in store.due(float(number), 50)]
        os.write(files["own"], b"".join(b"e %s\n" % each.encode() for each in gone))
        store.ended(gone)
        for _ in range(chance.randrange(30)):
            store.step()


def play(kills, seed):
    """What came of it, by name."""
    chance = random.Random(seed)
    with tempfile.TemporaryDirectory() as path:
        for each in range(kills):
            words = [sys.executable, "-m", "tests.backlog_kills", "--child", path, "--seed", str(seed + each)]
            process = subprocess.Popen(words, stdout=subprocess.PIPE)
            process.stdout.readline()  # it holds the backlog
            time.sleep(chance.random() * 0.06)
            process.send_signal(signal.SIGKILL)
            process.communicate()
        store, found = opened(path), []
        for destination in [*store.destinations()]:
            while store.waiting(destination)[0]:
                got = store.read(destination, 64)
                found += [each.id for each in got]
                store.moved(destination, len(got))
        own = lines(path, "own")
        moved = [words[1] for words in own if words[0] == "m"] + found
        all_of_them = [words[1] for words in own] + found
        order = sum(
            a > b
            for destination in range(DOWN)
            for there in [[int(each) for each in moved if int(each) % DOWN == destination]]
            for a, b in zip(there, there[1:], strict=False)
        )
        taken = {words[1] for words in lines(path, "taken")}
        return {
            "kills": kills,
            "taken": len(taken),
            "lost": len(taken - {*all_of_them}),
            "rot": store.lost,
            "twice": len(all_of_them) - len({*all_of_them}),
            "out of order": order,
            "still there": len(found),
            "left": len(store),
        }


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--child")
    parser.add_argument("--kills", type=int, default=100)
    parser.add_argument("--seed", type=int, default=1)
    words = parser.parse_args()
    if words.child:
        child(words.child, words.seed)
    told = play(words.kills, words.seed)
    print("; ".join(f"{value:,} {name}" for name, value in told.items()))
    return int(any(told[name] for name in ("lost", "rot", "twice", "out of order", "left")))


if __name__ == "__main__":
    sys.exit(main())
