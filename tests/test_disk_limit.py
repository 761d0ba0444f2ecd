"""The processes of an upgrade keep the sender's limit on the state folder together."""

import os
import random

import pytest
from test_ledger import disk_usage, kill

from birchstack.net import machine as module
from birchstack.net.ledger import Ledger
from birchstack.net.machine import Folder

LIMIT = 3_000_000
STEPS = 700


class Processes:
    """The processes of one sender; each learns what the others accepted as late as the seed says."""

    def __init__(self, path, seed):
        self.path, self.draw = path, random.Random(seed)
        self.names = (f"{number:x}" for number in range(1, 1 << 20))
        self.ids = (f"{number:08}" for number in range(1 << 20))
        self.accepted, self.refused, self.standby = 0, 0, []
        self.holder = self.opened("")

    def opened(self, name):
        folder = Folder(str(self.path))
        ledger = Ledger(folder, LIMIT, standby_name=name)
        ledger.test_folder = folder
        return ledger

    def start_standby(self):
        ledger = self.opened(next(self.names))
        ledger.find_standby()
        self.standby.append(ledger)
        ledger.drop_claimed()
        self.holder.find_standby()  # as it does once the other one has announced itself

    def accept(self, ledger, size):
        if ledger.has_space([size]):
            at = 0.0 if ledger is self.holder else float(self.accepted + 1)
            ledger.add(next(self.ids), "sync", 1, None, 1e6, b"x" * size, accepted_at=at)
            self.accepted += 1
        else:
            self.refused += 1

    def finish(self, share):
        for entry in [*self.holder.entries.values()]:
            if self.draw.random() < share:
                if entry.notice is None and self.draw.random() < 0.3:
                    self.holder.record_notice(entry, "dead", 0.0)
                else:
                    self.holder.finish(entry)

    def replace_holder(self):
        kill(self.holder.test_folder)
        heir = self.standby.pop(self.draw.randrange(len(self.standby)))
        heir.close()
        self.holder = self.opened("")

    def kill_standby(self):
        ledger = self.standby.pop(self.draw.randrange(len(self.standby)))
        kill(ledger.test_folder)

    def step(self, size):
        action = self.draw.random()
        if action < 0.02 and len(self.standby) < 2:
            self.start_standby()
        elif action < 0.03 and self.standby:
            self.replace_holder()
        elif action < 0.035 and self.standby:
            self.kill_standby()
        elif action < 0.05:
            self.finish(self.draw.choice([0.1, 0.9]))
        elif action < 0.2:
            self.holder.find_standby()
            self.holder.claim_standby()
        elif action < 0.35:
            for each in self.standby:
                each.drop_claimed()
        elif action < 0.37:
            self.holder.adopt_standby()
        else:
            ledger = self.draw.choice([self.holder, *self.standby])
            for _ in range(self.draw.randrange(1, 5)):
                self.accept(ledger, size())


# Each process counted only what it held itself: the folder of an upgrade went above disk_mb
@pytest.mark.parametrize("seed", range(8))
def test_the_folder_of_an_upgrade_stays_within_its_limit(tmp_path, monkeypatch, seed):
    usage = []

    def replaced(old, new):
        usage.append(disk_usage(tmp_path))
        os.replace(old, new)

    monkeypatch.setattr(module.os, "rename", replaced)
    world = Processes(tmp_path, seed)
    sizes = [(0, 100), (500, 20_000), (65_000, 65_536), (0, 65_536)][seed % 4]
    for _ in range(STEPS):
        world.step(lambda: world.draw.randrange(*sizes))
        usage.append(disk_usage(tmp_path))
    assert max(usage) <= LIMIT
    assert world.accepted > 200 and (world.refused > 20 or sizes[1] <= 100)


def test_a_standby_process_has_space_beside_a_holder_that_is_not_full(tmp_path):
    world = Processes(tmp_path, 0)
    world.accept(world.holder, 60_000)
    world.start_standby()
    before = world.accepted
    for _ in range(20):
        world.accept(world.standby[0], 50_000)
    assert 10 <= world.accepted - before < 20
    while not world.refused or world.holder.has_space([60_000]):
        world.accept(world.holder, 60_000)
    assert 2_000_000 < disk_usage(tmp_path) <= LIMIT
