"""Reads of the configuration service that are under way."""

from collections.abc import Awaitable, Callable
from typing import final

from anyio.abc import TaskGroup

from ..configuration.commands import ReadDocument, ReadHeads
from .configuration_events import (
    ConfigurationEvent,
    DocumentRead,
    HeadsRead,
)
from .service_client import ServiceClient

__all__ = ('ServiceReads',)


@final
class ServiceReads:
    """Runs each read as a task of its own and reports how it ended."""

    def __init__(
        self,
        client: ServiceClient,
        report: Callable[[ConfigurationEvent], Awaitable[None]],
    ) -> None:
        """Prepare.

        :param report: hears of the outcome of every read, failed or not.
        """
        self._client = client
        self._report = report

    def begin(
        self, command: ReadHeads | ReadDocument, group: TaskGroup
    ) -> None:
        """Start a read."""
        match command:
            case ReadHeads():
                group.start_soon(self._read_heads, command)
            case ReadDocument():
                group.start_soon(self._read_document, command)

    async def _read_heads(self, command: ReadHeads) -> None:
        heads = await self._client.read_heads(command.since, command.wait_ms)
        await self._report(HeadsRead(heads))

    async def _read_document(self, command: ReadDocument) -> None:
        document = await self._client.read_document(command.key)
        await self._report(DocumentRead(command.key, document))
