"""Where the counts of events are read from."""

from ..configuration.counts import SyncCounts
from ..inner.link import LinkEnd
from ..operations.labels import Event
from .node import Node

__all__ = ('watch_events',)


def watch_events(node: Node, sync_counts: SyncCounts) -> None:
    """Show what the parts of a daemon count of themselves."""
    ends = node.links.ends
    node.metrics.event_sources.update(
        {
            Event.LATE_REPLY: lambda: node.runner.unmatched_replies,
            Event.DOCUMENT_ACCEPTED: lambda: sync_counts.accepted,
            Event.DOCUMENT_INVALID: lambda: sync_counts.invalid,
            Event.DOCUMENT_STALE: lambda: sync_counts.stale,
            Event.CONFIG_READ: lambda: (
                sync_counts.heads_reads + sync_counts.document_reads
            ),
            Event.CONFIG_READ_FAILED: lambda: sync_counts.failed_reads,
            Event.CONNECTION_REPLACED: lambda: ends[LinkEnd.SILENT],
            Event.BAD_FRAME: lambda: ends[LinkEnd.BAD_FRAME],
        },
    )
