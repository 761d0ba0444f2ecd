"""Connects the backlog on disk to the sender, as the Store of birchstack.net.overflow."""

from __future__ import annotations

from birchstack.backlog.settings import Settings
from birchstack.backlog.store import MAX_OPEN_SEGMENTS, Backlog
from birchstack.ledger.records import Kept
from birchstack.net.machine import Folder
from birchstack.net.overflow import OpenedStore, StoreFactory

DESCRIPTORS = MAX_OPEN_SEGMENTS + 8  # segments, the manifest and a new one, runs being written and read


def store_factory(settings: Settings) -> StoreFactory:
    """Returns a function that opens the backlog of a folder."""

    def make(folder: Folder, now: float) -> OpenedStore:
        return OpenedStore(Backlog(folder, settings, now), settings.window, Kept)

    return make
