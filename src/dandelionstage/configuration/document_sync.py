"""Keeps the documents of this VM in sync with the service and other VMs."""

import random
from collections.abc import Iterable, Sequence
from itertools import chain
from typing import final

from ..model.documents import Document
from ..model.ids import DocumentKey, VmId
from ..model.messages import Digest, Documents, Pull
from .commands import Command, Heads, PeerView
from .counts import SyncCounts
from .offers import OfferOutcome
from .pulls import Pulls
from .pushes import UNSOLICITED, answer_pull, push_new
from .read_schedule import ReadingRole, ReadSchedule
from .startup_check import StartupCheck
from .store import DocumentStore

__all__ = ('DocumentSync',)

_Commands = tuple[Command, ...]


@final
class DocumentSync:  # noqa: WPS214 -- the interface of the package
    """Decides when to read the service, push documents and pull them.

    A few readers per data centre watch the service; the other VMs get
    documents from their peers.  Documents from every source are offered to
    the store, which alone accepts or refuses them.

    :ivar counts: counters since the start.
    """

    def __init__(
        self,
        store: DocumentStore,
        peers: PeerView,
        random_source: random.Random,
    ) -> None:
        """Start without any request sent."""
        self.counts = SyncCounts()
        self._store = store
        self._peers = peers
        self._random = random_source
        self._read_schedule = ReadSchedule(store, random_source)
        self._pulls = Pulls(store, random_source)
        self._startup_check = StartupCheck(random_source)
        self._ready = False

    def ready(self, now_ms: float) -> bool:
        """Return whether the documents held suffice to serve requests.

        Once ready, a VM stays ready.
        """
        if self._ready or not self._store.held():
            return self._ready
        peers = self._other_vms()
        has_all_documents = not self._read_schedule.missing.has_any()
        self._ready = self._startup_check.is_complete(
            peers, now_ms, has_all_documents=has_all_documents
        )
        return self._ready

    def tick(self, now_ms: float) -> _Commands:
        """Return the commands that are due; called every few tens of ms."""
        live_vms = len(self._peers.same_data_centre()) + 1
        commands: list[Command] = list(
            self._read_schedule.tick(now_ms, self._role(now_ms), live_vms),
        )
        if not self.ready(now_ms):
            peers_to_ask = self._startup_check.choose_peers(
                self._other_vms(), now_ms
            )
            commands.extend(
                self._pulls.pull_all(vm, now_ms) for vm in peers_to_ask
            )
        return self._count(commands)

    def receive_digest(
        self,
        vm: VmId,
        digest: Digest,
        now_ms: float,
    ) -> _Commands:
        """Pull from a peer if the digest in its probe differs."""
        return self._count(self._pulls.compare(vm, digest, now_ms))

    def receive_pull(self, vm: VmId, pull: Pull) -> _Commands:
        """Answer a peer that requests documents.

        A starting VM sends its documents without the call id, so that they
        don't count as an answer: a peer that is also starting must not rely
        on them being the newest.
        """
        documents = self._store.newer_than(pull.held, pull.above)
        call = pull.call if self._ready else UNSOLICITED
        return self._count(answer_pull(vm, call, documents))

    def receive_documents(self, vm: VmId, message: Documents) -> _Commands:
        """Offer pushed or requested documents from a peer to the store."""
        if message.call:
            self._startup_check.record_answer(vm)
        accepted = self._offer(message.documents)
        if message.call and not accepted:
            self._pulls.record_unsuccessful_pull(message.call)
        return self._push_new(accepted, vm)

    def finish_heads(self, heads: Heads | None, now_ms: float) -> None:
        """Handle the result of ``ReadHeads``, ``None`` if it failed."""
        self._startup_check.record_service_read()
        if heads is None:
            self.counts.failed_reads += 1
        else:
            self.counts.count_heads(heads, self._store.held())
        self._read_schedule.finish_heads(heads, now_ms, self._role(now_ms))

    def finish_document(
        self,
        key: DocumentKey,
        document: Document | None,
        now_ms: float,
    ) -> _Commands:
        """Handle the result of ``ReadDocument``, ``None`` if it failed."""
        if document is None:
            self.counts.failed_reads += 1
        accepted = self._offer(() if document is None else (document,))
        self._read_schedule.finish_document(key, now_ms)
        return self._push_new(accepted, None)

    def _role(self, now_ms: float) -> ReadingRole:
        if self._peers.is_reader():
            return ReadingRole.READER
        if self.ready(now_ms):
            return ReadingRole.CHECKER
        return ReadingRole.STARTER

    def _other_vms(self) -> tuple[VmId, ...]:
        return tuple(
            chain(
                self._peers.same_data_centre(), self._peers.other_data_centres()
            )
        )

    def _offer(self, documents: Sequence[Document]) -> list[Document]:
        accepted: list[Document] = []
        for document in documents:
            outcome = self._store.offer(document).outcome
            self.counts.count_outcome(outcome)
            if outcome is OfferOutcome.ACCEPTED:
                accepted.append(document)
        return accepted

    def _count(self, commands: Iterable[Command]) -> _Commands:
        counted = tuple(commands)
        self.counts.count_commands(counted)
        return counted

    def _push_new(
        self,
        accepted: Sequence[Document],
        source: VmId | None,
    ) -> _Commands:
        if not self._ready:
            return ()
        pushes = push_new(accepted, source, self._peers, self._random)
        return self._count(pushes)
