"""Puts the backlog on disk behind the sender's Store (birchstack.net.overflow).

Owns nothing but the joint.
"""

from __future__ import annotations

from birchstack.backlog.settings import Settings
from birchstack.backlog.store import HANDLES, Backlog
from birchstack.ledger.records import Kept
from birchstack.net.machine import Folder
from birchstack.net.overflow import OpenedStore, StoreFactory

DESCRIPTORS = HANDLES + 8  # segments, the manifest and a new one, runs that are written and read


def maker(told: Settings) -> StoreFactory:
    def make(folder: Folder, now: float) -> OpenedStore:
        return OpenedStore(Backlog(folder, told, now), told.window, Kept)

    return make
