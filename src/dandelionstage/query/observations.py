"""Records what replies show about owners and backend servers.

The observations serve all queries of the daemon.
"""

from collections.abc import Iterable

from ..model.ids import WorkloadId
from ..model.messages import Pin, SubReply
from ..model.verdict import Reason, Verdict
from .shard_progress import Attempt
from .shared_state import SharedQueryState

__all__ = ('observe_completion', 'observe_probe', 'observe_reply')


def observe_reply(
    reply: SubReply,
    attempt: Attempt,
    pin: Pin,
    shared: SharedQueryState,
    now_ms: float,
) -> None:
    """Record that the owner replied and which snapshots its backend holds."""
    reason = reply.verdict.reason
    if reason is not Reason.PEER_UNREACHABLE:
        shared.owners.record_reply(attempt.target.vm, now_ms)
    backend = reply.backend
    if backend is None:
        return
    if reply.held_snapshots:
        shared.held_snapshots.update(backend, reply.held_snapshots, now_ms)
    gone_without_report = (
        reason is Reason.SNAPSHOT_GONE and not reply.held_snapshots
    )
    if gone_without_report or reason is Reason.SHARD_MOVED:
        shared.held_snapshots.mark_missing(backend, attempt.shard, pin, now_ms)


def observe_completion(
    workload: WorkloadId,
    winner: Attempt,
    losers: Iterable[Attempt],
    shared: SharedQueryState,
    now_ms: float,
) -> None:
    """Record the answer time of a shard.

    :param winner: the attempt whose part was merged.
    :param losers: attempts still in flight; the time they have taken so far
        is a lower bound of their answer times.
    """
    elapsed_ms = now_ms - winner.sent_ms
    shared.hedge_delays.observe(workload, winner.shard, elapsed_ms)
    shared.answer_times.observe(winner.target.owner_key, elapsed_ms, now_ms)
    for loser in losers:
        shared.answer_times.observe_unfinished(
            loser.target.owner_key,
            now_ms - loser.sent_ms,
            now_ms,
        )


def observe_probe(
    probe: Attempt,
    verdict: Verdict,
    shared: SharedQueryState,
    now_ms: float,
) -> None:
    """Record the answer time of a probe if it was answered.

    :param probe: an attempt whose shard was closed before it ended.
    """
    if verdict.reason is Reason.OK:
        elapsed_ms = now_ms - probe.sent_ms
        shared.answer_times.observe(probe.target.owner_key, elapsed_ms, now_ms)
