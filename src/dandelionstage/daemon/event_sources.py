"""Where the counts of events are read from."""

from ..configuration.counts import SpreadCounts
from ..inner.link import LinkEnd
from ..operations.labels import Event
from .node import Node

__all__ = ('watch_events',)


def watch_events(node: Node, spread: SpreadCounts) -> None:
    """Show what the parts of a daemon count of themselves."""
    ends = node.links.ends
    node.metrics.event_sources.update(
        {
            Event.LATE_REPLY: lambda: node.runner.dropped,
            Event.DOCUMENT_ACCEPTED: lambda: spread.accepted,
            Event.DOCUMENT_INVALID: lambda: spread.invalid,
            Event.DOCUMENT_STALE: lambda: spread.stale,
            Event.CONFIG_READ: lambda: (
                spread.heads_reads + spread.document_reads
            ),
            Event.CONFIG_READ_FAILED: lambda: spread.failed_reads,
            Event.CONNECTION_REPLACED: lambda: ends[LinkEnd.SILENT],
            Event.BAD_FRAME: lambda: ends[LinkEnd.BAD_FRAME],
        },
    )
