"""A configuration service on virtual time, with a replica per place."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Final, final

from dandelionstage.configuration.commands import Heads, ReadHeads
from dandelionstage.membership.messages import Identity
from dandelionstage.model.documents import Document
from dandelionstage.model.ids import DataCentreId, DocumentKey, Revision
from tools.standins.config_history import ConfigHistory, ServiceMode

from .network import VirtualNetwork

__all__ = ('SERVICE', 'VirtualService')

#: The service's end of the network.
SERVICE: Final = 'service'

#: A reader gives the service this long beyond the wait it asked for.
_ANSWER_TIMEOUT_MS: Final = 500

_HeadsReply = Callable[[Heads | None], None]
_DocumentReply = Callable[[Document | None], None]


@dataclass(slots=True, eq=False)
class _Watch:
    reader: Identity
    command: ReadHeads
    reply: _HeadsReply


class _Once:
    """Passes on the first outcome only, as a client that timed out does."""

    def __init__(self, reply: _HeadsReply | _DocumentReply) -> None:
        self._reply: Callable[..., None] | None = reply

    def __call__(self, outcome: Heads | Document | None) -> None:
        reply = self._reply
        self._reply = None
        if reply is not None:
            reply(outcome)


@final
class VirtualService:  # noqa: WPS214 -- a step for each way of a read
    """Answers reads and watches; each place may see another state.

    :ivar replicas: what readers of each place see.
    :ivar reads: calls so far, a waiting watch counted as one.
    :ivar withheld: documents that are named but not given.
    :ivar lagging: documents of which an older revision is given.
    """

    def __init__(
        self,
        network: VirtualNetwork,
        places: Iterable[DataCentreId],
    ) -> None:
        """Hold nothing yet."""
        self.replicas = {place: ConfigHistory() for place in places}
        self.reads = 0
        self.withheld: set[DocumentKey] = set()
        self.lagging: dict[DocumentKey, Document] = {}
        self._network = network
        self._watches: list[_Watch] = []

    def write(self, key: DocumentKey, body_json: bytes) -> Revision:
        """Publish a document, or withdraw it by an empty body."""
        revisions = {
            replica.write(key, body_json) for replica in self.replicas.values()
        }
        self._wake()
        return revisions.pop()

    def treat(
        self,
        mode: ServiceMode,
        *places: DataCentreId,
        visible: int = 0,
    ) -> None:
        """Change how readers are treated, in all places by default."""
        for place in places or self.replicas:
            seen = visible if mode is ServiceMode.OLDER else None
            self.replicas[place].treat(mode, seen)
        self._wake()

    def read_heads(
        self,
        reader: Identity,
        command: ReadHeads,
        reply: _HeadsReply,
    ) -> None:
        """Answer a watch when there is a change or its wait is over."""
        once = _Once(reply)
        timeout_ms = command.wait_ms + _ANSWER_TIMEOUT_MS
        self._network.after(timeout_ms, lambda: once(None))
        watch = _Watch(reader, command, once)
        self._network.carry(
            reader.vm,
            SERVICE,
            lambda: self._take_watch(watch),
        )

    def read_document(
        self,
        reader: Identity,
        key: DocumentKey,
        reply: _DocumentReply,
    ) -> None:
        """Answer the read of a document."""
        once = _Once(reply)
        self._network.after(_ANSWER_TIMEOUT_MS, lambda: once(None))
        self._network.carry(
            reader.vm,
            SERVICE,
            lambda: self._answer_document(reader, key, once),
        )

    def _replica(self, reader: Identity) -> ConfigHistory | None:
        replica = self.replicas[reader.data_centre]
        return None if replica.mode is ServiceMode.DOWN else replica

    def _take_watch(self, watch: _Watch) -> None:
        self.reads += 1
        self._watches.append(watch)
        wait_ms = watch.command.wait_ms
        self._network.after(wait_ms, lambda: self._end(watch))
        self._wake()

    def _wake(self) -> None:
        for watch in tuple(self._watches):
            replica = self._replica(watch.reader)
            if replica is None or replica.heads(watch.command.since).heads:
                self._end(watch)

    def _end(self, watch: _Watch) -> None:
        if watch not in self._watches:
            return
        self._watches.remove(watch)
        replica = self._replica(watch.reader)
        since = watch.command.since
        heads = None if replica is None else replica.heads(since)
        self._network.carry(
            SERVICE,
            watch.reader.vm,
            lambda: watch.reply(heads),
        )

    def _answer_document(
        self,
        reader: Identity,
        key: DocumentKey,
        reply: _DocumentReply,
    ) -> None:
        self.reads += 1
        replica = self._replica(reader)
        document = None
        if replica is not None and key not in self.withheld:
            document = self.lagging.get(key, replica.document(key))
        self._network.carry(SERVICE, reader.vm, lambda: reply(document))
