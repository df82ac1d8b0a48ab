"""Base class of objects that open and close the resources they own."""

from abc import ABC, abstractmethod
from contextlib import AsyncExitStack
from types import TracebackType
from typing import Self

__all__ = ('ResourceOwner',)


class ResourceOwner(ABC):
    """Asynchronous context manager that owns other resources.

    If opening a resource fails, those opened before it are closed again.
    """

    async def __aenter__(self) -> Self:
        """Open all owned resources."""
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
        """Close all owned resources, the last opened first."""
        await self._owned.aclose()

    @abstractmethod
    async def _open(self, stack: AsyncExitStack) -> None:
        """Open the owned resources and register their closing on the stack."""
