"""What a reply teaches beyond its own query."""

from collections.abc import Iterable

from ..model.ids import WorkloadId
from ..model.messages import Pin, SubReply
from ..model.verdict import Reason, Verdict
from .shard import Attempt
from .tools import QueryTools

__all__ = ('learn_from', 'learn_probe', 'learn_times')


def learn_from(
    reply: SubReply,
    attempt: Attempt,
    pin: Pin,
    tools: QueryTools,
    now_ms: float,
) -> None:
    """Keep what a reply says of its owner and its backend server."""
    reason = reply.verdict.reason
    if reason is not Reason.PEER_UNREACHABLE:
        tools.owners.record_reply(attempt.target.vm, now_ms)
    backend = reply.backend
    if backend is None:
        return
    if reply.held_snapshots:
        tools.held.learn(backend, reply.held_snapshots, now_ms)
    unexplained = reason is Reason.SNAPSHOT_GONE and not reply.held_snapshots
    if unexplained or reason is Reason.SHARD_MOVED:
        tools.held.note_lacking(backend, attempt.shard, pin, now_ms)


def learn_times(
    workload: WorkloadId,
    winner: Attempt,
    losers: Iterable[Attempt],
    tools: QueryTools,
    now_ms: float,
) -> None:
    """Keep how long a shard took, and how long at least by other ways."""
    elapsed_ms = now_ms - winner.sent_ms
    tools.delays.observe(workload, winner.shard, elapsed_ms)
    tools.times.observe(winner.target.owner_key, elapsed_ms, now_ms)
    for loser in losers:
        tools.times.observe_unfinished(
            loser.target.owner_key,
            now_ms - loser.sent_ms,
            now_ms,
        )


def learn_probe(
    probe: Attempt,
    verdict: Verdict,
    tools: QueryTools,
    now_ms: float,
) -> None:
    """Keep how long a slow place took, though another one was faster."""
    if verdict.reason is Reason.OK:
        elapsed_ms = now_ms - probe.sent_ms
        tools.times.observe(probe.target.owner_key, elapsed_ms, now_ms)
