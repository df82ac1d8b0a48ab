"""The task that keeps a daemon's documents up to date."""

from collections.abc import Callable, Iterable
from typing import Final, final

import anyio
from anyio.abc import TaskGroup

from ..configuration.commands import (
    Command,
    PullFrom,
    PushTo,
    ReadDocument,
    ReadHeads,
)
from ..configuration.document_sync import DocumentSync
from ..configuration.store import DocumentStore
from ..configuration.topology import Topology
from ..model.ids import VmId
from ..model.messages import Documents, Pull
from .clock import monotonic_ms
from .configuration_events import (
    ConfigurationEvent,
    DigestHeard,
    DocumentRead,
    DocumentsReceived,
    HeadsRead,
    PullReceived,
)
from .service_client import ServiceClient
from .service_reads import ServiceReads

__all__ = ('ConfigurationTask',)

_TICK_S: Final = 0.05

#: Events that may wait; what comes beyond is dropped and found again later.
_MAX_EVENTS: Final = 1000

#: Sends a message to another VM without waiting for it.
_Send = Callable[[VmId, Documents | Pull], None]

#: Hears of each new topology.
_OnTopology = Callable[[Topology], None]


@final
class ConfigurationTask:
    """Carries events to the spread of documents and does what it asks.

    The store belongs to this task: others get the immutable topology.
    """

    def __init__(
        self,
        store: DocumentStore,
        document_sync: DocumentSync,
        send: _Send,
        on_topology: _OnTopology,
    ) -> None:
        """Prepare; ``run`` does the work."""
        self._store = store
        self._document_sync = document_sync
        self._send = send
        self._on_topology = on_topology
        outbox, inbox = anyio.create_memory_object_stream[ConfigurationEvent](
            _MAX_EVENTS,
        )
        self._outbox = outbox
        self._inbox = inbox

    def post(self, event: ConfigurationEvent) -> None:
        """Tell the task something; dropped if it cannot keep up."""
        try:
            self._outbox.send_nowait(event)
        except anyio.WouldBlock:
            self._document_sync.counts.dropped += 1

    def ready(self) -> bool:
        """Say whether the documents held are good enough to serve on."""
        return self._document_sync.ready(monotonic_ms())

    async def run(self, client: ServiceClient) -> None:
        """Keep the documents up to date until cancelled."""
        reads = ServiceReads(client, self._outbox.send)
        async with self._inbox, anyio.create_task_group() as group:
            while True:
                topology = self._store.topology
                commands = self._document_sync.tick(monotonic_ms())
                self._obey(commands, reads, group)
                with anyio.move_on_after(_TICK_S):
                    event = await self._inbox.receive()
                    self._obey(
                        _handle(self._document_sync, event), reads, group
                    )
                if self._store.topology is not topology:
                    self._on_topology(self._store.topology)

    def _obey(
        self,
        commands: Iterable[Command],
        reads: ServiceReads,
        group: TaskGroup,
    ) -> None:
        for command in commands:
            match command:
                case ReadHeads() | ReadDocument():
                    reads.begin(command, group)
                case PushTo():
                    self._send(command.vm, command.documents)
                case PullFrom():
                    self._send(command.vm, command.pull)


def _handle(
    document_sync: DocumentSync, event: ConfigurationEvent
) -> tuple[Command, ...]:
    match event:
        case DigestHeard():
            return document_sync.receive_digest(
                event.vm, event.digest, monotonic_ms()
            )
        case PullReceived():
            return document_sync.receive_pull(event.vm, event.pull)
        case DocumentsReceived():
            return document_sync.receive_documents(event.vm, event.documents)
        case DocumentRead():
            return document_sync.finish_document(
                event.key,
                event.document,
                monotonic_ms(),
            )
        case HeadsRead():
            document_sync.finish_heads(event.heads, monotonic_ms())
            return ()
