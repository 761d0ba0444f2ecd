"""Decides which endpoint an address belongs to when the list names two.

A process that starts at the address of one that has gone may be listed before the other one is taken out of
the list. A call to the old one would reach the new one, another partner's perhaps. The endpoint that was
listed there last has the address, or has started there again; of those that were listed together, as in the
first list of a process, the one whose process started last. Owns which endpoints count as gone for that
reason, and keeps nothing of any other. Endpoints that started together keep an address together. One that
drains, which is called no more, takes an address over only if it surely started later.
"""

from __future__ import annotations

import logging
from dataclasses import dataclass, replace

from birchstack import interface as our
from birchstack.net.listed import EndpointList
from birchstack.net.log import log_event

Address = tuple[str, int]
Listed = list[tuple[our.Endpoint, Address]]
Told = dict[str, tuple[our.Endpoint, Address]]  # a message, by endpoint
Occupants = dict[Address, dict[str, our.Endpoint]]  # the endpoints listed at an address, by name
log = logging.getLogger(__name__)


@dataclass(slots=True)
class SupersededEndpoint:
    """An endpoint as discovery lists it, at an address that another one has now."""

    entry: our.Endpoint
    address: Address


class AddressClaims:
    """The endpoints whose address another one has taken over; all others are in the list."""

    def __init__(self, known: EndpointList) -> None:
        self._known = known
        self._superseded: dict[str, SupersededEndpoint] = {}  # in the order in which they were

    def resolve(self, mode: str, listed: Listed) -> Listed:
        """Returns a list or delta, before it is applied, without endpoints whose address a later one has.

        A delta has those as gone, and those as listed whose successor has gone."""
        fresh = {
            entry.name: address
            for entry, address in listed
            if entry.state != our.GONE and self._is_fresh(entry, address)
        }
        if not fresh and not self._superseded:
            return listed
        arriving = {*fresh.values()}
        starts = {(address, entry.started_ms) for entry, address in listed if entry.name in fresh}
        contested = {*arriving} if len(starts) > len(arriving) else set()
        contested |= {
            address
            for name, address in self._known.addresses.items()
            if address in arriving and name not in fresh
        }
        contested |= {record.address for record in self._superseded.values()}
        if not contested:
            return listed
        told = {entry.name: (entry, address) for entry, address in listed}
        before, self._superseded = self._superseded, self._contest(mode, told, fresh, contested)
        if mode != our.CHANGES:
            return [each for each in listed if each[0].name not in self._superseded]
        return self._changes(listed, told, before)

    def _is_fresh(self, entry: our.Endpoint, address: Address) -> bool:
        """Whether an endpoint is listed at an address for the first time, or has started again there."""
        known = self._entry_of(entry.name)
        if known is None or self._address_of(entry.name) != address:
            return True
        return entry.started_ms not in (0.0, known.started_ms)

    def _entry_of(self, name: str) -> our.Endpoint | None:
        record = self._superseded.get(name)
        return record.entry if record else self._known.entries.get(name)

    def _address_of(self, name: str) -> Address | None:
        record = self._superseded.get(name)
        return record.address if record else self._known.addresses.get(name)

    def _contest(
        self, mode: str, told: Told, fresh: dict[str, Address], contested: set[Address]
    ) -> dict[str, SupersededEndpoint]:
        """Returns the endpoints that are superseded after a message: those before come first."""
        losers: dict[str, SupersededEndpoint] = {}
        for address, here in self._occupants(mode, told, contested).items():
            holders = self._holders(here, fresh)
            for name in [each for each in here if each not in holders]:
                losers[name] = SupersededEndpoint(here[name], address)
                if name not in self._superseded:
                    _log_taken_over(address, name, holders)
        return {name: losers[name] for name in [*self._superseded, *losers] if name in losers}

    def _occupants(self, mode: str, told: Told, contested: set[Address]) -> Occupants:
        """Returns the endpoints that are listed at these addresses after a message."""
        listed = {name: address for name, address in self._known.addresses.items() if address in contested}
        listed |= {name: record.address for name, record in self._superseded.items()}
        occupants: Occupants = {}
        for name, address in listed.items():
            if mode != our.WHOLE and name not in told:
                occupants.setdefault(address, {})[name] = self._entry_of(name)
        for name, (entry, address) in told.items():
            if entry.state != our.GONE and address in contested:
                occupants.setdefault(address, {})[name] = entry
        return occupants

    def _holders(self, here: dict[str, our.Endpoint], fresh: dict[str, Address]) -> set[str]:
        """Returns which of the endpoints that are listed at an address have it."""
        draining = {name for name in here if name in fresh and here[name].state != our.READY}
        arrived = {name: entry for name, entry in here.items() if name in fresh and name not in draining}
        if arrived:
            holders = {*_started_last(arrived)}
        else:
            earlier = {name: here[name] for name in self._superseded if name in here}
            holders = {*here} - {*fresh} - {*earlier} or {*[*_started_last(earlier)][-1:]}
        started_ms = max((here[name].started_ms for name in holders), default=0.0)
        later = {name: here[name] for name in draining if here[name].started_ms > started_ms}
        if later:
            return {*_started_last(later)}
        return holders | {name for name in draining if here[name].started_ms == started_ms}

    def _changes(self, listed: Listed, told: Told, before: dict[str, SupersededEndpoint]) -> Listed:
        """Returns a delta with what it changes about superseded endpoints."""
        effective = [
            (_gone(entry) if entry.name in self._superseded else entry, address) for entry, address in listed
        ]
        effective += [
            (_gone(record.entry), record.address)
            for name, record in self._superseded.items()
            if name not in told and name not in before
        ]
        return effective + [
            (record.entry, record.address)
            for name, record in reversed(before.items())
            if name not in told and name not in self._superseded
        ]


def _started_last(entries: dict[str, our.Endpoint]) -> dict[str, None]:
    """Returns the names of the endpoints that started last, in their order."""
    started_ms = max((entry.started_ms for entry in entries.values()), default=0.0)
    return {name: None for name, entry in entries.items() if entry.started_ms == started_ms}


def _log_taken_over(address: Address, old: str, holders: set[str]) -> None:
    where = "{}:{}".format(*address)
    new = ",".join(sorted(holders))
    log_event(log, "address taken over", logging.WARNING, address=where, old=old, new=new)


def _gone(entry: our.Endpoint) -> our.Endpoint:
    return replace(entry, state=our.GONE)
