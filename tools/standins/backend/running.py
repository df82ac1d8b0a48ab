"""Calls that run in the slots of a stand-in backend server."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Final, final

import anyio

from .messages import CallBody
from .witness import Witness

__all__ = ('Ending', 'Runner')

_MS: Final = 1000


@final
@dataclass(slots=True)
class Ending:
    """How far a call came.

    :ivar started: it had a slot.
    :ivar cancelled: somebody asked that it be stopped.
    """

    scope: anyio.CancelScope
    started: bool = False
    cancelled: bool = False


@final
class Runner:
    """Gives slots to calls, by turns, and stops them when asked."""

    def __init__(self, slots: int, witness: Witness) -> None:
        """Start with every slot free."""
        self._slots = anyio.Semaphore(slots, fast_acquire=True)
        self._witness = witness
        self._calls: dict[str, Ending] = {}

    async def run(
        self,
        body: CallBody,
        service_ms: float,
        on_start: Callable[[], None],
    ) -> Ending:
        """Run a call until it ends, is cancelled or its deadline passes."""
        deadline_s = anyio.current_time() + body.deadline_ms / _MS
        ending = Ending(anyio.CancelScope(deadline=deadline_s))
        self._calls[body.call] = ending
        with ending.scope:
            with self._witness.queue.taken():
                await self._slots.acquire()
            await self._work(ending, service_ms, on_start)
        self._calls.pop(body.call, None)
        return ending

    def cancel(self, call: str) -> bool:
        """Stop a call, ``False`` if it is not known."""
        ending = self._calls.get(call)
        if ending is None:
            return False
        ending.cancelled = True
        ending.scope.cancel()
        return True

    async def _work(
        self,
        ending: Ending,
        service_ms: float,
        on_start: Callable[[], None],
    ) -> None:
        try:  # noqa: WPS501 -- the slot is given back, errors pass
            with self._witness.slots.taken():
                ending.started = True
                on_start()
                await anyio.sleep(service_ms / _MS)
        finally:
            self._slots.release()
