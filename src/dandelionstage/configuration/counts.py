"""Counters of the document sync for operators."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from typing import final

from ..model.ids import DocumentKey, Revision
from .commands import (
    Command,
    Heads,
    PullFrom,
    PushTo,
    ReadDocument,
    ReadHeads,
)
from .offers import OfferOutcome

__all__ = ('SyncCounts',)


@final
@dataclass(slots=True)
class SyncCounts:
    """Counters since the process started.

    :ivar heads_reads: reads of the service's history, including watches.
    :ivar document_reads: reads of a single document from the service.
    :ivar failed_reads: reads of the service without a valid answer.
    :ivar behind: heads with an older revision than the one held.
    :ivar pulls: requests for documents sent to other VMs.
    :ivar pushes: messages with documents sent to other VMs.
    :ivar accepted: offered documents that the store accepted.
    :ivar stale: offered documents that were older than the one held, or
        copies of it.
    :ivar invalid: offered documents that the store refused as invalid.
    :ivar dropped: events dropped because the queue was full.
    """

    heads_reads: int = 0
    document_reads: int = 0
    failed_reads: int = 0
    behind: int = 0
    pulls: int = 0
    pushes: int = 0
    accepted: int = 0
    stale: int = 0
    invalid: int = 0
    dropped: int = 0

    def count_commands(self, commands: Iterable[Command]) -> None:
        """Count commands by kind."""
        for command in commands:
            match command:
                case ReadHeads():
                    self.heads_reads += 1
                case ReadDocument():
                    self.document_reads += 1
                case PullFrom():
                    self.pulls += 1
                case PushTo():
                    self.pushes += 1

    def count_outcome(self, outcome: OfferOutcome) -> None:
        """Count the outcome of one offered document."""
        match outcome:
            case OfferOutcome.ACCEPTED:
                self.accepted += 1
            case OfferOutcome.STALE:
                self.stale += 1
            case OfferOutcome.INVALID:
                self.invalid += 1

    def count_heads(
        self,
        heads: Heads,
        held: Mapping[DocumentKey, Revision],
    ) -> None:
        """Count documents that are older in the service than on this VM."""
        self.behind += sum(
            1
            for key, revision in heads.heads
            if revision < held.get(key, revision)
        )
