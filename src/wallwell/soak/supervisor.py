"""The processes of a run: started here, bounded here, and ended by their ids, also when the run is interrupted."""

from __future__ import annotations

import asyncio
import ctypes
import os
import signal
import sys
from collections.abc import Sequence
from pathlib import Path

import msgspec

from wallwell.errors import SoakError
from wallwell.soak.control import Announcement

MAX_PROCESSES = 40
"""Processes at which a run is given up: a bound on what a wrong option can start."""
MAX_MEMORY_BYTES = 2 * 1024**3
"""Resident memory of all processes together at which a run is given up."""
START_TIMEOUT_S = 20.0
"""Seconds that a process is given to report ready: many start together."""
END_TIMEOUT_S = 15.0
"""Time that a process is given to end by SIGTERM: the routers' grace and some more."""
_SET_PARENT_DEATH_SIGNAL = 1
"""``PR_SET_PDEATHSIG`` of Linux: the child is killed when the run itself is, which cannot clean up then."""


def _die_with_parent() -> None:
    ctypes.CDLL(None).prctl(_SET_PARENT_DEATH_SIGNAL, signal.SIGKILL)


class ChildProcess:
    """One process of a run."""

    def __init__(self, name: str, process: asyncio.subprocess.Process) -> None:
        self.name = name
        self.asked_to_end = ""
        """Name of the signal that was sent to end it, empty for none."""
        self.had_handler = True
        """Whether the process had a handler for that signal as it was sent."""
        self._process = process

    @property
    def pid(self) -> int:
        """The process's id."""
        return self._process.pid

    @property
    def status(self) -> int | None:
        """Exit status, negative for a signal, None while it runs."""
        return self._process.returncode

    def send(self, number: signal.Signals) -> None:
        """Send a signal; nothing happens if the process has ended."""
        if self.status is None:
            self._process.send_signal(number)

    def has_handler(self, number: signal.Signals) -> bool:
        """Whether the process has a handler for a signal, or has ended."""
        return _has_handler(self.pid, number)

    async def end(self, number: signal.Signals) -> int:
        """Send a signal that ends the process and return its status; SIGKILL follows where it does not end."""
        self.asked_to_end = number.name
        self.had_handler = _has_handler(self.pid, number)
        self.send(number)
        try:
            async with asyncio.timeout(END_TIMEOUT_S):
                return await self._process.wait()
        except TimeoutError:
            self.asked_to_end = f"{number.name}, SIGKILL"
            self.send(signal.SIGKILL)
            return await self._process.wait()

    async def wait(self) -> int:
        """Wait for the end; returns the status."""
        return await self._process.wait()

    async def announcement(self) -> Announcement:
        """Return what the process reports when it is ready. Raises :class:`SoakError`."""
        assert self._process.stdout is not None
        try:
            async with asyncio.timeout(START_TIMEOUT_S):
                line = await self._process.stdout.readline()
            return msgspec.json.decode(line, type=Announcement)
        except (TimeoutError, msgspec.MsgspecError) as error:
            raise SoakError(f"{self.name} did not start; see its log") from error


class Supervisor:
    """Starts and ends processes. Logs go to ``NAME.log`` of the run's folder, settings to ``NAME.json``."""

    def __init__(self, folder: Path) -> None:
        self._folder = folder
        self._running: dict[str, ChildProcess] = {}

    def __len__(self) -> int:
        return sum(child.status is None for child in self._running.values())

    async def start(
        self, name: str, command: Sequence[str], environment: dict[str, str] | None = None
    ) -> ChildProcess:
        """Start a process. Raises :class:`SoakError` beyond the bound of processes."""
        if len(self) >= MAX_PROCESSES:
            raise SoakError(f"more than {MAX_PROCESSES} processes")
        with (self._folder / f"{name}.log").open("ab") as log:
            process = await asyncio.create_subprocess_exec(
                *command,
                stdin=asyncio.subprocess.DEVNULL,
                stdout=asyncio.subprocess.PIPE,
                stderr=log,
                env={**os.environ, **(environment or {})},
                # A session of its own keeps an interrupt of the terminal from reaching it before the run ends it.
                start_new_session=True,
                preexec_fn=_die_with_parent,
            )
        child = self._running[name] = ChildProcess(name, process)
        return child

    async def start_own(self, kind: str, name: str, settings: msgspec.Struct | None = None) -> Announcement:
        """Start one of the run's own kinds of process and wait until it is ready. Raises :class:`SoakError`."""
        path = self._folder / f"{name}.json"
        path.write_bytes(msgspec.json.encode(settings))
        child = await self.start(name, (sys.executable, "-m", "wallwell.soak.process", kind, str(path)))
        return await child.announcement()

    def child(self, name: str) -> ChildProcess:
        """Return the newest process of a name."""
        return self._running[name]

    def check_memory(self) -> None:
        """Raises :class:`SoakError` where all processes together hold more than the bound."""
        held = sum(_resident_bytes(child.pid) for child in self._running.values() if child.status is None)
        if held > MAX_MEMORY_BYTES:
            raise SoakError(f"{held / 1e6:.0f} MB in {len(self)} processes")

    async def close(self) -> None:
        """End everything that was started and still runs."""
        left = [child for child in self._running.values() if child.status is None]
        for child in left:
            child.asked_to_end = signal.SIGKILL.name
            child.send(signal.SIGKILL)
        for child in left:
            await child.wait()


def _has_handler(pid: int, number: signal.Signals) -> bool:
    try:
        lines = Path(f"/proc/{pid}/status").read_text().splitlines()
    except OSError:
        return True  # It has ended; its status tells how.
    caught = next((line.split()[1] for line in lines if line.startswith("SigCgt:")), "0")
    return bool(int(caught, 16) & 1 << (number - 1))


def _resident_bytes(pid: int) -> int:
    try:
        pages = int(Path(f"/proc/{pid}/statm").read_text().split()[1])
    except (OSError, IndexError):
        return 0  # It has just ended.
    return pages * os.sysconf("SC_PAGE_SIZE")
