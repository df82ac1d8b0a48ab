"""How documents reach this VM, and through it others."""

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
from .pushes import NOT_ASKED_FOR, pass_on, send_all
from .start import Start
from .store import DocumentStore
from .watch import ReadingRole, Watch

__all__ = ('DocumentSync',)

_Commands = tuple[Command, ...]


@final
class DocumentSync:  # noqa: WPS214 -- the face of the package, short methods
    """Decides who reads the service, whom to push to and when to pull.

    A few readers per data centre watch the service; the others hear from
    peers.  Whatever brings a document, the store alone decides on it.

    :ivar counts: what was done since the start.
    """

    def __init__(
        self,
        store: DocumentStore,
        peers: PeerView,
        random_source: random.Random,
    ) -> None:
        """Start with nothing read and nobody asked."""
        self.counts = SyncCounts()
        self._store = store
        self._peers = peers
        self._random = random_source
        self._watch = Watch(store, random_source)
        self._pulls = Pulls(store, random_source)
        self._start = Start(random_source)
        self._ready = False

    def ready(self, now_ms: float) -> bool:
        """Say whether the documents held are good enough to serve on.

        Once they are, they stay so.
        """
        if self._ready or not self._store.held():
            return self._ready
        peers = self._other_vms()
        complete = not self._watch.wanted.pending()
        self._ready = self._start.enough(peers, now_ms, complete=complete)
        return self._ready

    def tick(self, now_ms: float) -> _Commands:
        """Do what is due; call it every few tens of milliseconds."""
        neighbours = len(self._peers.same_data_centre()) + 1
        commands: list[Command] = list(
            self._watch.tick(now_ms, self._role(now_ms), neighbours),
        )
        if not self.ready(now_ms):
            asked = self._start.ask(self._other_vms(), now_ms)
            commands.extend(self._pulls.pull_all(vm, now_ms) for vm in asked)
        return self._counted(commands)

    def receive_digest(
        self,
        vm: VmId,
        digest: Digest,
        now_ms: float,
    ) -> _Commands:
        """Compare what a peer holds, as its probe says."""
        return self._counted(self._pulls.compare(vm, digest, now_ms))

    def receive_pull(self, vm: VmId, pull: Pull) -> _Commands:
        """Answer a peer that asks for documents.

        A VM that is starting gives what it has but not as an answer: a
        peer that is starting too must not rely on it for the newest.
        """
        documents = self._store.newer_than(pull.held, pull.above)
        call = pull.call if self._ready else NOT_ASKED_FOR
        return self._counted(send_all(vm, call, documents))

    def receive_documents(self, vm: VmId, message: Documents) -> _Commands:
        """Take documents that a peer pushed or was asked for."""
        if message.call:
            self._start.note_answer(vm)
        taken = self._offer(message.documents)
        if message.call and not taken:
            self._pulls.note_nothing_new(message.call)
        return self._pass_on(taken, vm)

    def finish_heads(self, heads: Heads | None, now_ms: float) -> None:
        """Take the outcome of ``ReadHeads``, ``None`` if it failed."""
        self._start.note_read()
        if heads is None:
            self.counts.failed_reads += 1
        else:
            self.counts.note_heads(heads, self._store.held())
        self._watch.finish_heads(heads, now_ms, self._role(now_ms))

    def finish_document(
        self,
        key: DocumentKey,
        document: Document | None,
        now_ms: float,
    ) -> _Commands:
        """Take the outcome of ``ReadDocument``, ``None`` if it failed."""
        if document is None:
            self.counts.failed_reads += 1
        taken = self._offer(() if document is None else (document,))
        self._watch.finish_document(key, now_ms)
        return self._pass_on(taken, None)

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
        taken: list[Document] = []
        for document in documents:
            outcome = self._store.offer(document).outcome
            self.counts.note_outcome(outcome)
            if outcome is OfferOutcome.ACCEPTED:
                taken.append(document)
        return taken

    def _counted(self, commands: Iterable[Command]) -> _Commands:
        counted = tuple(commands)
        self.counts.note_commands(counted)
        return counted

    def _pass_on(
        self,
        taken: Sequence[Document],
        source: VmId | None,
    ) -> _Commands:
        if not self._ready:
            return ()
        pushes = pass_on(taken, source, self._peers, self._random)
        return self._counted(pushes)
