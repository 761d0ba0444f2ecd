"""Decides which endpoint an address belongs to when the list names two.

A process that starts at the address of one that has gone may be listed before the other one is taken out of
the list. A call to the old one would reach the new one, another partner's perhaps. Owns which endpoints count
as gone for that reason. Endpoints that were listed at one address together keep it together.
"""

from __future__ import annotations

import logging
from dataclasses import replace

from birchstack import interface as our
from birchstack.net.log import log_event

Address = tuple[str, int]
Listed = list[tuple[our.Endpoint, Address]]
log = logging.getLogger(__name__)


class AddressClaims:
    """The endpoints as discovery lists them, and those whose address another one has taken over."""

    def __init__(self) -> None:
        self._listed: dict[str, tuple[our.Endpoint, Address]] = {}
        self._holders: dict[Address, str] = {}  # the latest endpoint at each address
        self._superseded: dict[str, str] = {}  # endpoints that count as gone, by whom
        self._changed: dict[str, None] = {}  # superseded or back, in the current message

    def resolve(self, mode: str, listed: Listed) -> Listed:
        """Returns a list or delta without endpoints whose address belongs to a later one.

        A delta has those as gone, and those as listed whose successor has gone."""
        named = {entry.name for entry, _ in listed}
        if mode == our.WHOLE:
            for name in [each for each in self._listed if each not in named]:
                self._forget(name)
        arrived = {}
        for entry, address in listed:
            if entry.state == our.GONE:
                self._forget(entry.name)
                continue
            if entry.name not in self._listed or self._listed[entry.name][1] != address:
                self._forget(entry.name)
                arrived[entry.name] = None
            self._listed[entry.name] = entry, address
        for name in arrived:
            self._claim(name, arrived)
        changed, self._changed = self._changed, {}
        if mode != our.CHANGES:
            return [each for each in listed if each[0].name not in self._superseded]
        others = [self._listed[each] for each in changed if each in self._listed and each not in named]
        return [(self._effective(entry), address) for entry, address in [*listed, *others]]

    def _effective(self, entry: our.Endpoint) -> our.Endpoint:
        return replace(entry, state=our.GONE) if entry.name in self._superseded else entry

    def _claim(self, name: str, arrived: dict[str, None]) -> None:
        """An endpoint is listed at an address for the first time; one that drains claims it from nobody."""
        entry, address = self._listed[name]
        holder = self._holders.setdefault(address, name)
        if holder == name:
            return
        holder_ready = self._listed[holder][0].state == our.READY
        if entry.state == our.READY and not (holder_ready and holder in arrived):
            self._holders[address] = name
            self._supersede(holder, name, address)
        elif entry.state != our.READY and holder_ready:
            self._supersede(name, holder, address)

    def _supersede(self, old: str, new: str, address: Address) -> None:
        self._superseded[old] = new
        self._changed[old] = None
        log_event(
            log, "address taken over", logging.WARNING, address="{}:{}".format(*address), old=old, new=new
        )

    def _forget(self, name: str) -> None:
        """An endpoint is listed at its address no more; one that it superseded there is back."""
        if name not in self._listed:
            return
        _, address = self._listed.pop(name)
        self._superseded.pop(name, None)
        if self._holders.get(address) != name:
            return
        del self._holders[address]
        for old in [each for each, new in self._superseded.items() if new == name]:
            del self._superseded[old]
            self._changed[old] = None
            self._holders[address] = old
