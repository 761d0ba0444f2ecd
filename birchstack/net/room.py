"""File descriptors: how many there are, and who may have how many of them.

Owns the division alone. Must never count what is open: who owns connections keeps to the share named here.
"""

from __future__ import annotations

import dataclasses

from birchstack.net.config import Config

# Never clients' nor calls': standard streams, the loop's own, listeners, lock, ledger and its new file,
# bodies, watch and notices (an old connection beside a new one), a trail. Twelve are held at rest.
RESERVE = 24
CLIENTS_SHARE = 40  # at most, in hundredths; a quarter is theirs whatever the calls may need
POOLED = 8  # idle connections to endpoints that are kept at least


@dataclasses.dataclass(frozen=True, slots=True)
class Shares:
    """clients: with those that are ending; coming: let in and not known yet, and as many not closed yet;
    callers: at the operators' door; idle: connections to endpoints that lie idle; slots: calls out."""

    clients: int
    coming: int
    callers: int
    idle: int
    slots: int


def coming(clients: int) -> int:
    """How many clients may be let in at once, where so many may be in."""
    return max(2, min(16, clients // 8))


def shares(descriptors: int, slots: int) -> Shares:
    """From 64 descriptors up the shares and the reserve fit; of slots, as many as there is room for."""
    callers, most = max(4, min(64, descriptors // 16)), descriptors * CLIENTS_SHARE // 100
    rest = descriptors - RESERVE - callers - 2 * coming(most)
    clients = max(2, min(most, max(descriptors // 4, rest - POOLED - slots)))
    slots = max(1, min(slots, rest - POOLED - clients))
    return Shares(clients, coming(clients), callers, max(POOLED, rest - clients - slots), slots)


def fitted(config: Config, descriptors: int) -> Config:
    """The configuration within what the system lets the process have: no more sockets, no more calls out."""
    sockets = min(config.sockets, descriptors)
    slots = shares(sockets, config.settings.slots).slots
    return dataclasses.replace(
        config, sockets=sockets, settings=dataclasses.replace(config.settings, slots=slots)
    )
