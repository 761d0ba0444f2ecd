"""Real processes of a rig: started by a line, signalled by their id, and never left behind.

Owns the processes it started and their folders. Must never signal any other.
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

PASS_S = 0.01  # how often a condition is looked at


class RigError(Exception):
    """What keeps a rig from being played."""


async def until(condition: Callable[[], object], within_s: float, what: str = "it") -> None:
    """Waits for a condition that is looked at again and again; the bound is for a rig that hangs."""
    loop = asyncio.get_running_loop()
    end = loop.time() + within_s
    while not condition():
        if loop.time() > end:
            raise RigError(f"{what} did not come within {within_s} s")
        await asyncio.sleep(PASS_S)


class Process:
    """One program over its lives. line: as in the deploy file, run by /bin/sh; settings: its environment."""

    def __init__(self, name: str, line: str, folder: Path, root: Path, settings: dict[str, str]) -> None:
        self.name, self._line, self.folder, self._root = name, line, folder, root
        self.settings = settings
        self.process: asyncio.subprocess.Process | None = None
        self.log = folder / "log"
        self.stopped = False
        folder.mkdir(parents=True, exist_ok=True)

    async def start(self, ready: str | None = "event=ready", within_s: float = 20.0) -> None:
        """ready: what its log says once it is; None: not waited for."""
        said = len(self.text())
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
                lambda: ready in self.text()[said:] or self.process.returncode is not None,
                within_s,
                f"{self.name} ready",
            )
            if self.process.returncode is not None:
                raise RigError(f"{self.name} ended with {self.process.returncode}: {self.text()[-500:]}")

    def text(self) -> str:
        return self.log.read_text(errors="replace") if self.log.exists() else ""

    @property
    def runs(self) -> bool:
        return self.process is not None and self.process.returncode is None

    def signal(self, number: int) -> None:
        if self.runs:
            self.process.send_signal(number)

    def stop(self) -> None:
        """SIGSTOP: it stands still, and its machine answers for it."""
        self.stopped = True
        self.signal(signal.SIGSTOP)

    def go(self) -> None:
        self.stopped = False
        self.signal(signal.SIGCONT)

    async def ended(self, within_s: float = 6.0) -> int:
        return await asyncio.wait_for(self.process.wait(), within_s)

    async def kill(self) -> None:
        if self.runs:
            self.signal(signal.SIGKILL)
            await self.ended()

    async def term(self) -> int:
        self.signal(signal.SIGTERM)
        return await self.ended()

    async def end(self) -> None:
        """However it stands."""
        with contextlib.suppress(ProcessLookupError):
            await self.kill()


def shell(*words: str) -> str:
    return "exec " + " ".join(shlex.quote(word) for word in words)


def copy_folder(old: Path, new: Path) -> None:
    """As a backup or a cloned disk would hold it."""
    shutil.rmtree(new, ignore_errors=True)
    shutil.copytree(old, new)
