"""Divides the file descriptors of the process among its kinds of connections.

Owns the division alone and never counts what is open: whoever owns connections keeps to its share.
"""

from __future__ import annotations

import dataclasses

from birchstack.net.config import Config

# Never used for clients or calls: standard streams, the event loop's own, listeners, the lock, the ledger and
# its new file, bodies, watch and notices (an old connection beside a new one), the audit trail. An idle
# process holds twelve.
RESERVED_DESCRIPTORS = 24
CLIENTS_PERCENT = 40  # at most for clients; a quarter is theirs whatever the calls may need
MIN_IDLE = 8  # idle connections to endpoints that are kept at least


@dataclasses.dataclass(frozen=True, slots=True)
class DescriptorShares:
    """How many descriptors each kind of connection may use.

    clients: client connections, closing ones included; accepting: accepted and not registered yet, and as
    many again that are not closed yet; operators: operators' connections; idle: idle connections to
    endpoints; slots: calls in flight.
    """

    clients: int
    accepting: int
    operators: int
    idle: int
    slots: int


def max_accepting(clients: int) -> int:
    """How many client connections may be accepted at once, out of that many clients."""
    return max(2, min(16, clients // 8))


def divide_descriptors(descriptors: int, slots: int) -> DescriptorShares:
    """Divides the descriptors: from 64 up, the shares and the reserve fit; slots are cut to what fits."""
    operators = max(4, min(64, descriptors // 16))
    max_clients = descriptors * CLIENTS_PERCENT // 100
    rest = descriptors - RESERVED_DESCRIPTORS - operators - 2 * max_accepting(max_clients)
    clients = max(2, min(max_clients, max(descriptors // 4, rest - MIN_IDLE - slots)))
    slots = max(1, min(slots, rest - MIN_IDLE - clients))
    return DescriptorShares(
        clients, max_accepting(clients), operators, max(MIN_IDLE, rest - clients - slots), slots
    )


def limit_to_descriptors(config: Config, descriptors: int) -> Config:
    """Returns the configuration with sockets and slots cut to the descriptors that the system allows."""
    sockets = min(config.sockets, descriptors)
    slots = divide_descriptors(sockets, config.settings.slots).slots
    return dataclasses.replace(
        config, sockets=sockets, settings=dataclasses.replace(config.settings, slots=slots)
    )
