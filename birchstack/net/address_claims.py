"""Decides which endpoint an address belongs to when the list names two.

A process that starts at the address of one that has gone may be listed before the other one is taken out of
the list. A call to the old one would reach the new one, another partner's perhaps. Owns which endpoints count
as gone for that reason, and keeps nothing of any other. Endpoints that were listed at one address together
keep it together, and one that drains, which is called no more, takes no address over.
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
log = logging.getLogger(__name__)


@dataclass(slots=True)
class SupersededEndpoint:
    """An endpoint as discovery lists it, and the one that has its address now."""

    entry: our.Endpoint
    address: Address
    successor: str


class AddressClaims:
    """The endpoints whose address another one has taken over; all others are in the list."""

    def __init__(self, known: EndpointList) -> None:
        self._known = known
        self._superseded: dict[str, SupersededEndpoint] = {}  # in the order in which they were

    def resolve(self, mode: str, listed: Listed) -> Listed:
        """Returns a list or delta, before it is applied, without endpoints whose address a later one has.

        A delta has those as gone, and those as listed whose successor has gone."""
        told = {entry.name: (entry, address) for entry, address in listed}
        taken = {
            address: entry.name
            for entry, address in listed
            if entry.state == our.READY and self._address_of(entry.name) != address
        }
        if not self._superseded and not (taken and self._known.addresses):
            return listed
        self._update(mode, told)
        restored = self._restore(mode, told, taken)
        superseded = self._take_over(mode, told, taken)
        if mode != our.CHANGES:
            return [each for each in listed if each[0].name not in self._superseded]
        effective = [(self._effective(entry), address) for entry, address in listed]
        effective += [(_gone(each.entry), each.address) for each in superseded if each.entry.name not in told]
        return effective + [(each.entry, each.address) for each in restored if each.entry.name not in told]

    def _effective(self, entry: our.Endpoint) -> our.Endpoint:
        return _gone(entry) if entry.name in self._superseded else entry

    def _address_of(self, name: str) -> Address | None:
        record = self._superseded.get(name)
        return record.address if record else self._known.addresses.get(name)

    def _leaves(self, mode: str, name: str, told: Told) -> bool:
        """Whether a message takes an endpoint from its address, or out of the list."""
        if name not in told:
            return mode == our.WHOLE
        entry, address = told[name]
        return entry.state == our.GONE or address != self._address_of(name)

    def _update(self, mode: str, told: Told) -> None:
        """Takes over what a message says of superseded endpoints; some are listed elsewhere, or no more."""
        for name, record in [*self._superseded.items()]:
            if self._leaves(mode, name, told):
                del self._superseded[name]
            elif name in told:
                record.entry = told[name][0]

    def _restore(self, mode: str, told: Told, taken: dict[Address, str]) -> list[SupersededEndpoint]:
        """Returns endpoints that have their address again, as the one that had it leaves.

        Where there are several, the latest of them has it, unless another one comes in the same message."""
        restored = []
        for name, record in reversed([*self._superseded.items()]):
            left = record.successor
            if name not in self._superseded or not self._leaves(mode, left, told):
                continue
            if record.address in taken:
                heir = taken[record.address]
            else:
                heir = name
                restored.append(self._superseded.pop(name))
            for other in self._superseded.values():
                if other.successor == left:
                    other.successor = heir
        return restored

    def _take_over(self, mode: str, told: Told, taken: dict[Address, str]) -> list[SupersededEndpoint]:
        """Returns endpoints whose address another one has taken with this message."""
        found = [
            SupersededEndpoint(self._known.entries[name], address, taken[address])
            for name, address in self._known.addresses.items()
            if taken.get(address, name) != name and not self._leaves(mode, name, told)
        ]
        for record in found:
            name = record.entry.name
            record.entry = told.get(name, (record.entry,))[0]
            for other in self._superseded.values():
                if other.successor == name:
                    other.successor = record.successor
            self._superseded[name] = record
            where = "{}:{}".format(*record.address)
            log_event(
                log, "address taken over", logging.WARNING, address=where, old=name, new=record.successor
            )
        return found


def _gone(entry: our.Endpoint) -> our.Endpoint:
    return replace(entry, state=our.GONE)
