"""Runs a sender whose system calls fail now and then: python -m birchstack.emulator.rig.shim.

The faults are named by the variable BIRCHSTACK_SHIM, separated by commas, with the seed in front:
`7,accept,connect`. Calls are replaced in this process only, in the module where Python code finds them.
Faults come in spells, so that a call may fail several times on end and then works again.
"""

from __future__ import annotations

import errno
import os
import random
import socket
import sys
import time
from collections.abc import Callable

from birchstack.__main__ import main

VARIABLE = "BIRCHSTACK_SHIM"
SPELL_S = 0.3  # length of a spell of failures
CALM_S = 0.9  # mean time between two spells
FAILURE_SHARE = 0.7  # of the calls in a spell
SHORT_BYTES = 7  # a short read or write moves at most this much
STEPS_S = (-3600.0, -5.0, -1.0, 1.0, 5.0, 3600.0)  # steps of the wall clock
STANDARD_STREAMS = (0, 1, 2)


class Spells:
    """Decides whether a call fails now."""

    def __init__(self, chance: random.Random) -> None:
        self._chance = chance
        self._next_at = time.monotonic() + chance.expovariate(1.0 / CALM_S)

    def fails(self) -> bool:
        """Returns whether a call that is made now fails."""
        now = time.monotonic()
        if now >= self._next_at + SPELL_S:
            self._next_at = now + self._chance.expovariate(1.0 / CALM_S)
        return now >= self._next_at and self._chance.random() < FAILURE_SHARE


def _failing(call: Callable, spells: Spells, chance: random.Random, numbers: tuple[int, ...]) -> Callable:
    """Returns a call that fails with one of the error numbers during spells."""

    def replacement(*arguments: object) -> object:
        if spells.fails():
            number = chance.choice(numbers)
            raise OSError(number, os.strerror(number))
        return call(*arguments)

    return replacement


def fail_accept(spells: Spells, chance: random.Random) -> None:
    """accept() fails as accept(2) documents."""
    numbers = (errno.ECONNABORTED, errno.ENFILE, errno.ENOBUFS, errno.EINTR, errno.EPROTO, errno.ENETDOWN)
    socket.socket.accept = _failing(socket.socket.accept, spells, chance, numbers)


def fail_connect(spells: Spells, chance: random.Random) -> None:
    """connect() fails for a moment, by no fault of the peer."""
    numbers = (errno.EADDRNOTAVAIL, errno.ENETUNREACH, errno.ENOBUFS)
    socket.socket.connect = _failing(socket.socket.connect, spells, chance, numbers)


def shorten_transfers(spells: Spells, chance: random.Random) -> None:
    """send() and recv_into() move few bytes, or are interrupted."""
    send = socket.socket.send
    receive = socket.socket.recv_into

    def short_send(sock: socket.socket, data: bytes) -> int:
        if not spells.fails():
            return send(sock, data)
        if chance.random() < 0.3:
            raise InterruptedError(errno.EINTR, os.strerror(errno.EINTR))
        return send(sock, memoryview(data)[:SHORT_BYTES])

    def short_receive(sock: socket.socket, buffer: memoryview, size: int = 0) -> int:
        if not spells.fails():
            return receive(sock, buffer, size)
        if chance.random() < 0.3:
            raise InterruptedError(errno.EINTR, os.strerror(errno.EINTR))
        return receive(sock, buffer, SHORT_BYTES)

    socket.socket.send = short_send
    socket.socket.recv_into = short_receive


def break_connections(spells: Spells, chance: random.Random) -> None:
    """recv_into() fails as on a connection whose peer is out of reach."""
    numbers = (errno.ETIMEDOUT, errno.EHOSTUNREACH)
    failing = _failing(socket.socket.recv_into, spells, chance, numbers)
    whole = socket.socket.recv_into
    socket.socket.recv_into = lambda *given: (failing if chance.random() < 0.2 else whole)(*given)


def fail_folder(spells: Spells, chance: random.Random) -> None:
    """Writes to files fail, or are short."""
    write = os.write

    def failing_write(handle: int, data: bytes) -> int:
        if handle in STANDARD_STREAMS or not spells.fails():
            return write(handle, data)
        if chance.random() < 0.3:
            return write(handle, data[: len(data) // 2])
        number = chance.choice((errno.ENOSPC, errno.EIO))
        raise OSError(number, os.strerror(number))

    os.write = failing_write


def step_clock(spells: Spells, chance: random.Random) -> None:
    """The wall clock is stepped at the beginning of spells, either way."""
    wall = time.time
    offset_s = 0.0

    def stepped() -> float:
        nonlocal offset_s
        if spells.fails():
            offset_s = chance.choice(STEPS_S)
        return wall() + offset_s

    time.time = stepped


FAULTS: dict[str, Callable[[Spells, random.Random], None]] = {
    "accept": fail_accept,
    "connect": fail_connect,
    "short": shorten_transfers,
    "broken": break_connections,
    "folder": fail_folder,
    "clock": step_clock,
}


def install() -> None:
    """Installs the faults that the variable names; each process draws its own times."""
    seed, *names = os.environ[VARIABLE].split(",")
    for name in names:
        chance = random.Random(f"{seed} {name} {os.environ.get('BALANCER_CONFIG')} {os.getpid()}")
        FAULTS[name](Spells(chance), chance)


if __name__ == "__main__":
    install()
    sys.exit(main())
