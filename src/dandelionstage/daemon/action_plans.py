"""Places an action on one shard of its workload."""

import xxhash

from ..actions.execution import ActionPlan
from ..actions.messages import Start
from ..entry.minting import Planner
from ..model.ids import ActionId, ShardId
from ..model.messages import Pin
from ..model.topology import Snapshot
from ..model.verdict import Reason, Verdict, not_run
from .clock import monotonic_ms
from .facts import Facts

__all__ = ('plan_actions',)


def plan_actions(facts: Facts) -> Planner:
    """Make the planner that follows the facts."""

    def plan(start: Start) -> ActionPlan | Verdict:  # noqa: WPS430 -- closure
        call = start.call
        workload = facts.workload(call.workload)
        contract = facts.topology().contracts.get(call.customer)
        if workload is None or contract is None:
            return not_run(Reason.NO_CONFIGURATION)
        snapshot = workload.snapshots[0]
        shard = _pick_shard(snapshot, start.action_id)
        return ActionPlan(
            pin=Pin(snapshot.snapshot, snapshot.shard_map_revision),
            priority=contract.priority,
            targets=lambda avoid: facts.router.targets(
                call.workload,
                shard,
                snapshot.shards[shard],
                avoid,
            ),
            deadline_ms=monotonic_ms() + call.remaining_ms,
        )

    return plan


def _pick_shard(snapshot: Snapshot, action_id: ActionId) -> ShardId:
    """Pick the same shard each time for the same action."""
    shards = sorted(snapshot.shards)
    return shards[xxhash.xxh3_64_intdigest(action_id.encode()) % len(shards)]
