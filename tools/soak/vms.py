"""The program under test, one process for each VM."""

import asyncio
import signal
import sys
from contextlib import AsyncExitStack
from dataclasses import dataclass
from enum import Enum, unique
from pathlib import Path
from typing import Final, final

from dandelionstage.gateway.clock import now_ms
from dandelionstage.lifecycle.resource_owner import ResourceOwner

__all__ = ('Ending', 'Life', 'Vm')

_PROGRAM: Final = 'dandelionstage.platform.main'
#: A process that was asked to stop is killed after this, beyond its grace.
_STOP_S: Final = 9.0


@unique
class Ending(Enum):
    """Why a process ended."""

    STOPPED = 'stopped'
    KILLED = 'killed'
    #: By itself, or not within its grace.
    UNASKED = 'unasked'


@final
@dataclass(slots=True)
class Life:
    """One process, from its start to its end.

    :ivar stop_ms: when it was asked to stop.
    :ivar is_calm: whether it was never paused.
    """

    started_ms: float
    stop_ms: float | None = None
    is_calm: bool = True
    ending: Ending | None = None


@final
class Vm(ResourceOwner):  # noqa: WPS214 -- one process's owner, short methods
    """Starts the program and starts it again when it has ended.

    :ivar lives: its processes so far, the newest last.
    """

    def __init__(self, host: str, settings: Path) -> None:
        """Prepare; nothing runs before the VM is entered."""
        self.host = host
        self.lives: list[Life] = []
        self._settings = settings
        self._process: asyncio.subprocess.Process | None = None
        #: One thing is done to a VM at a time.
        self._lock = asyncio.Lock()

    @property
    def life(self) -> Life:
        """The newest process."""
        return self.lives[-1]

    @property
    def pid(self) -> int:
        """Number of the process that runs now."""
        assert self._process is not None  # noqa: S101 -- entered
        return self._process.pid

    async def start(self) -> None:
        """Start a process."""
        log = self._settings.with_suffix('.log')
        with log.open('ab') as sink:
            self._process = await asyncio.create_subprocess_exec(
                sys.executable,
                '-m',
                _PROGRAM,
                env={
                    'DANDELIONSTAGE_BOOT': str(self._settings),
                    'PYTHONPATH': 'src',
                },
                stdout=sink,
                stderr=sink,
            )
        self.lives.append(Life(now_ms()))

    async def stop(self) -> None:
        """Ask the process to stop, wait, and start another."""
        async with self._lock:
            self.note_end()
            self.life.stop_ms = now_ms()
            self.life.ending = self.life.ending or Ending.STOPPED
            self._signal(signal.SIGTERM)
            await self._wait()
            await self.start()

    async def kill(self, down_s: float) -> None:
        """Kill the process and start another after a while."""
        async with self._lock:
            self.note_end()
            self.life.ending = self.life.ending or Ending.KILLED
            self._signal(signal.SIGKILL)
            await self._wait()
            await asyncio.sleep(down_s)
            await self.start()

    async def pause(self, for_s: float) -> None:
        """Have the process stand still."""
        async with self._lock:
            self.life.is_calm = False
            self._signal(signal.SIGSTOP)
            await asyncio.sleep(for_s)
            self._signal(signal.SIGCONT)

    def note_end(self) -> None:
        """Note a process that ended by itself."""
        assert self._process is not None  # noqa: S101 -- entered
        if self._process.returncode is not None and not self.life.ending:
            self.life.ending = Ending.UNASKED

    async def _open(self, stack: AsyncExitStack) -> None:
        await self.start()
        stack.push_async_callback(self._end)

    async def _end(self) -> None:
        self.note_end()
        self._signal(signal.SIGKILL)
        await self._wait()

    async def _wait(self) -> None:
        assert self._process is not None  # noqa: S101 -- entered
        try:
            async with asyncio.timeout(_STOP_S):
                await self._process.wait()
        except TimeoutError:
            self.life.ending = Ending.UNASKED
            self._process.kill()
            await self._process.wait()

    def _signal(self, number: signal.Signals) -> None:
        process = self._process
        if process is not None and process.returncode is None:
            process.send_signal(number)
