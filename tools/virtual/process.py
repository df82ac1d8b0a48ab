"""A process that can be frozen and woken."""

from collections.abc import Callable
from typing import final

__all__ = ('VirtualProcess',)


@final
class VirtualProcess:
    """Runs callbacks at once, after the wake, or not at all.

    :ivar running: false once it was killed.
    """

    def __init__(self) -> None:
        """Start it."""
        self.running = True
        self._held_back: list[Callable[[], None]] | None = None

    @property
    def frozen(self) -> bool:
        """Whether callbacks are held back."""
        return self._held_back is not None

    def run(self, callback: Callable[[], None]) -> None:
        """Run a callback when the process can."""
        if not self.running:
            return
        if self._held_back is None:
            callback()
        else:
            self._held_back.append(callback)

    def freeze(self) -> None:
        """Hold everything back."""
        self._held_back = []

    def wake(self) -> None:
        """Run what was held back, late."""
        held_back = self._held_back or []
        self._held_back = None
        for callback in held_back:
            callback()
