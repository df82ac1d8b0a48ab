"""Opens what an object owns and closes it in reverse."""

from abc import ABC, abstractmethod
from contextlib import AsyncExitStack
from types import TracebackType
from typing import Self

__all__ = ('ResourceOwner',)


class ResourceOwner(ABC):
    """A context manager that owns other things.

    What was opened is closed again when opening the rest fails.
    """

    async def __aenter__(self) -> Self:
        """Open everything owned."""
        async with AsyncExitStack() as stack:
            await self._open(stack)
            self._owned = stack.pop_all()
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Close everything owned, the last opened first."""
        await self._owned.aclose()

    @abstractmethod
    async def _open(self, stack: AsyncExitStack) -> None:
        """Open what is owned and give the stack what closes it."""
