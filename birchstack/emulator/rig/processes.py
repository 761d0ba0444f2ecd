"""Supervision of a rig's real processes: started by a command line, signalled by process id.

Only processes started here are signalled, and none is left running.
"""

from __future__ import annotations

import asyncio
import contextlib
import os
import shlex
import shutil
import signal
from collections.abc import Callable
from pathlib import Path

POLL_INTERVAL_S = 0.01  # interval between two checks of a condition


class RigError(Exception):
    """A rig cannot be started or run."""


async def until(condition: Callable[[], object], within_s: float, what: str = "it") -> None:
    """Waits for a condition by polling; raises RigError after within_s."""
    loop = asyncio.get_running_loop()
    deadline = loop.time() + within_s
    while not condition():
        if loop.time() > deadline:
            raise RigError(f"{what} did not come within {within_s} s")
        await asyncio.sleep(POLL_INTERVAL_S)


class Process:
    """One program over its restarts.

    line: the command, run by /bin/sh like the one in the deploy file. settings: additional environment
    variables.
    """

    def __init__(self, name: str, line: str, folder: Path, root: Path, settings: dict[str, str]) -> None:
        self.name = name
        self._line = line
        self.folder = folder
        self._root = root
        self.settings = settings
        self.process: asyncio.subprocess.Process | None = None
        self.log = folder / "log"
        self.stopped = False
        folder.mkdir(parents=True, exist_ok=True)

    async def start(self, ready: str | None = "event=ready", within_s: float = 20.0) -> None:
        """Starts the program and waits for the text in its log that says it is ready, unless that is None."""
        log_size = len(self.text())
        with self.log.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                "/bin/sh",
                "-c",
                self._line,
                cwd=self._root,
                env={**os.environ, **self.settings},
                stdin=asyncio.subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        if ready:
            await until(
                lambda: ready in self.text()[log_size:] or self.process.returncode is not None,
                within_s,
                f"{self.name} ready",
            )
            if self.process.returncode is not None:
                raise RigError(f"{self.name} ended with {self.process.returncode}: {self.text()[-500:]}")

    def text(self) -> str:
        """Returns the log so far."""
        return self.log.read_text(errors="replace") if self.log.exists() else ""

    @property
    def runs(self) -> bool:
        """Whether the program is running."""
        return self.process is not None and self.process.returncode is None

    def signal(self, number: int) -> None:
        """Sends a signal, if the program is running."""
        if self.runs:
            self.process.send_signal(number)

    def stop(self) -> None:
        """Pauses the program with SIGSTOP; its kernel still accepts connections and data."""
        self.stopped = True
        self.signal(signal.SIGSTOP)

    def go(self) -> None:
        """Continues the program after stop()."""
        self.stopped = False
        self.signal(signal.SIGCONT)

    async def ended(self, within_s: float = 6.0) -> int:
        """Waits for the exit and returns the status."""
        return await asyncio.wait_for(self.process.wait(), within_s)

    async def kill(self) -> None:
        """Ends the program with SIGKILL."""
        if self.runs:
            self.signal(signal.SIGKILL)
            await self.ended()

    async def term(self) -> int:
        """Ends the program with SIGTERM and returns its exit status."""
        self.signal(signal.SIGTERM)
        return await self.ended()

    async def end(self) -> None:
        """Ends the program, whatever its state."""
        with contextlib.suppress(ProcessLookupError):
            await self.kill()


def shell(*words: str) -> str:
    """Returns a command line for /bin/sh that replaces the shell."""
    return "exec " + " ".join(shlex.quote(word) for word in words)


def copy_folder(old: Path, new: Path) -> None:
    """Copies a folder as a backup or a cloned disk would hold it."""
    shutil.rmtree(new, ignore_errors=True)
    shutil.copytree(old, new)
