"""Decides whether a stand-in backend server refuses a call."""

from .faults import Faults
from .messages import CallBody, ServerSetup
from .replies import NOT_RUN

__all__ = ('reason_to_refuse', 'run_of_refusal')


def reason_to_refuse(
    body: CallBody,
    setup: ServerSetup,
    faults: Faults,
    *,
    waiting: int,
    is_warm: bool,
) -> str:
    """Name the reason, empty when the call is taken."""
    checks = (
        (faults.draining, 'draining'),
        (faults.cold or not is_warm, 'cold'),
        (body.deadline_ms <= 0, 'deadline_expired'),
        (bool(setup.shards) and body.shard not in setup.shards, 'shard_moved'),
        (_is_gone(body.snapshot, setup, faults), 'snapshot_gone'),
        (waiting >= setup.queue, 'overloaded'),
    )
    failed = (reason for fails, reason in checks if fails)
    return faults.refuse or next(failed, '')


def run_of_refusal(faults: Faults) -> str:
    """Say whether a call refused at once may have run."""
    return faults.refuse_run if faults.refuse else NOT_RUN


def _is_gone(snapshot: str | None, setup: ServerSetup, faults: Faults) -> bool:
    if snapshot is None:
        return False
    if snapshot in faults.gone_snapshots:
        return True
    return bool(setup.snapshots) and snapshot not in setup.snapshots
