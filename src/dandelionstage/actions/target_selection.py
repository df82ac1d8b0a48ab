"""The walk of one action over the owners and replicas of its shard."""

from collections.abc import Callable
from typing import Final, final

from ..model.ids import BackendId, VmId
from ..model.messages import SubReply
from ..retries.moves import Move, move_after
from ..routing.targets import Target

__all__ = ('ReplicaWalk', 'Targets')

#: Lists owners of the shard, best first, without the replicas to avoid.
Targets = Callable[[frozenset[BackendId]], tuple[Target, ...]]

_MAX_ATTEMPTS: Final = 6
#: The backend server cannot serve, its owner may.
_PAST_REPLICA: Final = frozenset((Move.NEXT_REPLICA, Move.GONE))


@final
class ReplicaWalk:
    """Gives one target after the other, none that refused before."""

    def __init__(self, targets: Targets) -> None:
        """Start at the best target."""
        self._targets = targets
        self._attempts = 0
        self._at: VmId | None = None
        self._avoid: frozenset[BackendId] = frozenset()
        self._refused: frozenset[VmId | None] = frozenset()

    def next(self) -> Target | None:
        """Give the next target, ``None`` when there is none left."""
        if self._attempts >= _MAX_ATTEMPTS:
            return None
        for target in self._targets(self._avoid):
            if target.vm not in self._refused:
                self._attempts += 1
                self._at = target.vm
                return target
        return None

    def learn(self, refusal: SubReply) -> bool:
        """Rule out who refused; ``False`` if going on is in vain."""
        move = move_after(refusal.verdict.reason)
        if move is Move.GIVE_UP:
            return False
        if move in _PAST_REPLICA and refusal.backend is not None:
            self._avoid |= {refusal.backend}
        else:
            self._refused |= {self._at}
        return True
