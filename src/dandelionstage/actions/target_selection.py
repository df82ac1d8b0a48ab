"""Selection of the owners and replicas that an action is tried at."""

from collections.abc import Callable
from typing import Final, final

from ..model.ids import BackendId, VmId
from ..model.messages import SubReply
from ..retries.retry_steps import RetryStep, retry_step
from ..routing.targets import Target

__all__ = ('ListTargets', 'TargetSelector')

#: Lists the owners of the shard, best first, without the given replicas.
ListTargets = Callable[[frozenset[BackendId]], tuple[Target, ...]]

_MAX_ATTEMPTS: Final = 6
#: Retry steps after which the replica is excluded, but not its owner.
_REPLICA_STEPS: Final = frozenset((RetryStep.NEXT_REPLICA, RetryStep.GONE))


@final
class TargetSelector:
    """Selects targets one by one and excludes those that refused."""

    def __init__(self, list_targets: ListTargets) -> None:
        """Create a selector that starts with the best target."""
        self._list_targets = list_targets
        self._attempts = 0
        self._current_vm: VmId | None = None
        self._excluded_replicas: frozenset[BackendId] = frozenset()
        self._excluded_vms: frozenset[VmId | None] = frozenset()

    def select_next(self) -> Target | None:
        """Return the next target, ``None`` when there is none left."""
        if self._attempts >= _MAX_ATTEMPTS:
            return None
        for target in self._list_targets(self._excluded_replicas):
            if target.vm not in self._excluded_vms:
                self._attempts += 1
                self._current_vm = target.vm
                return target
        return None

    def exclude(self, refusal: SubReply) -> bool:
        """Exclude the replica or owner that refused.

        :returns: ``False`` if no other target would accept the action.
        """
        step = retry_step(refusal.verdict.reason)
        if step is RetryStep.GIVE_UP:
            return False
        if step in _REPLICA_STEPS and refusal.backend is not None:
            self._excluded_replicas |= {refusal.backend}
        else:
            self._excluded_vms |= {self._current_vm}
        return True
