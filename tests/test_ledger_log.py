"""The segmented log on a real folder: what it owes after any story, with compaction going on and a crash at any write."""

import os
import random

import pytest

from birchstack.ledger.log import Log
from birchstack.ledger.plan import BLOCK
from birchstack.ledger.records import Take
from birchstack.net.machine import Folder

MOST, LIMIT = 8192, 160_000


def used(path):
    return sum(-(-entry.stat().st_size // BLOCK) * BLOCK for entry in os.scandir(path))


class Model:
    """What is owed, kept plainly: by id, [sent, failed, doubt, notice, out]."""

    def __init__(self):
        self.owed = {}

    def after_a_restart(self):
        return {
            doc_id: (sent, failed, doubt + ([out] if out else []), notice)
            for doc_id, (sent, failed, doubt, notice, out) in self.owed.items()
        }


def state(log):
    return {
        doc_id: (held.sent, held.failed, [tuple(each) for each in held.doubt], held.notice)
        for doc_id, held in log.owed.items()
    }


def story(log, model, draw, steps, path=None):
    """Draws what happens; compaction goes on between."""
    number = len(model.owed) * 1000
    for _ in range(steps):
        owed = [doc_id for doc_id in model.owed if model.owed[doc_id][3] is None]
        what = draw.random()
        if what < 0.35 or not owed:
            number += 1
            body = bytes(draw.randrange(256) for _ in range(draw.choice([10, 200, 2000])))
            if log.fits(len(body)):
                doc_id = f"d{number}"
                log.take(Take(doc_id, "sync", 3, None, 9000.0, len(body), body))
                model.owed[doc_id] = [0, 0, [], None, None]
        else:
            doc_id = draw.choice(owed)
            held = model.owed[doc_id]
            if held[4] is None and what < 0.6:
                log.call(doc_id, "a", float(number))
                held[0], held[4] = held[0] + 1, ("a", float(number))
            elif held[4] is not None and what < 0.8:
                doubt, failed = draw.random() < 0.5, draw.random() < 0.5
                log.back(doc_id, doubt, failed)
                held[2] += [held[4]] if doubt else []
                held[1], held[4] = held[1] + failed, None
            elif what < 0.85:
                log.notice(doc_id, "dead", 0.0)
                held[3] = ("dead", 0.0)
            else:
                log.done(doc_id)
                del model.owed[doc_id]
        for _ in range(draw.randrange(3)):
            log.step()
        if path is not None:
            assert used(path) <= LIMIT


@pytest.mark.parametrize("seed", range(12))
def test_what_is_owed_comes_back_from_the_segments_while_they_are_copied_on(tmp_path, seed):
    draw, model = random.Random(seed), Model()
    log = Log(Folder(str(tmp_path)), LIMIT, MOST)
    for _ in range(6):
        story(log, model, draw, 300, tmp_path)
        assert {doc_id: (h.sent, h.failed, h.doubt, h.notice) for doc_id, h in log.owed.items()} == {
            doc_id: (sent, failed, doubt, notice)
            for doc_id, (sent, failed, doubt, notice, _) in model.owed.items()
        }
        log = Log(Folder(str(tmp_path)), LIMIT, MOST)  # as after SIGKILL: nothing was closed
        assert state(log) == model.after_a_restart() and not log.found
        for held in model.owed.values():
            held[2], held[4] = held[2] + ([held[4]] if held[4] else []), None
    assert log.plan.amplification().writes < 3.0


class Killed(Exception):
    """The process ends here."""


class Brittle(Folder):
    """A folder whose process is killed at its nth change; a last append is torn at a drawn length."""

    def __init__(self, path, at, draw):
        super().__init__(path)
        self.left, self._draw = at, draw

    def _change(self):
        self.left -= 1
        if self.left < 0:
            raise Killed

    def append(self, handle, data):
        if self.left == 0:
            os.write(handle, data[: self._draw.randrange(len(data))])
        self._change()
        return super().append(handle, data)

    def open(self, name, fresh=False):
        self._change()
        return super().open(name, fresh)

    def unlink(self, name):
        self._change()
        super().unlink(name)


@pytest.mark.parametrize("seed", range(40))
def test_a_kill_at_any_change_leaves_each_document_as_before_or_after_it(tmp_path, seed):
    draw = random.Random(seed)
    before = Model()
    story(Log(Folder(str(tmp_path)), LIMIT, MOST), before, random.Random(seed + 1000), 400)
    folder = Brittle(str(tmp_path), draw.randrange(1, 200), draw)
    log, model = Log(folder, LIMIT, MOST), Model()
    model.owed = {
        doc_id: [sent, failed, doubt + ([out] if out else []), notice, None]
        for doc_id, (sent, failed, doubt, notice, out) in before.owed.items()
    }
    last = None
    with pytest.raises(Killed):
        while True:
            last = {doc_id: list(held) for doc_id, held in model.owed.items()}
            story(log, model, draw, 1)
    after = state(Log(Folder(str(tmp_path)), LIMIT, MOST))
    assert after in (model.after_a_restart(), Model.after_a_restart(_with(last))), "neither before nor after"


def _with(owed):
    model = Model()
    model.owed = owed
    return model
