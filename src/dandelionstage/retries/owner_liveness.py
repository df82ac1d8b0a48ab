"""Tells owners that are silent from owners that are slow."""

from typing import Final, final

from ..model.ids import VmId

__all__ = ('OwnerLiveness',)

#: An owner that was silent for this long is tried again.
_TRIED_AGAIN_MS: Final = 1000


@final
class OwnerLiveness:
    """What was asked of and heard from each owner, over all queries.

    An owner heard since an attempt was sent is alive, so a slow attempt is
    the backend server's doing.  This notices a lost owner within a few answer
    times, sooner than the probes between daemons.
    """

    def __init__(self) -> None:
        """Start with no owner heard."""
        self._heard_ms: dict[VmId, float] = {}
        self._waiting_ms: dict[VmId, float] = {}

    def record_request(self, vm: VmId, now_ms: float) -> None:
        """Note that an attempt is sent."""
        self._waiting_ms.setdefault(vm, now_ms)

    def record_reply(self, vm: VmId, now_ms: float) -> None:
        """Note a reply."""
        self._heard_ms[vm] = now_ms
        self._waiting_ms.pop(vm, None)

    def replied_since(self, vm: VmId, sent_ms: float) -> bool:
        """Whether the owner replied to anything after this time."""
        heard_ms = self._heard_ms.get(vm)
        return heard_ms is not None and heard_ms > sent_ms

    def silent_ms(self, vm: VmId, now_ms: float) -> float:
        """Return how long attempts at the owner have waited for any reply.

        After some time it is 0 again, so that the owner is tried again.
        """
        waiting_ms = self._waiting_ms.get(vm)
        if waiting_ms is None:
            return 0
        silent_ms = now_ms - waiting_ms
        if silent_ms > _TRIED_AGAIN_MS:
            self._waiting_ms.pop(vm)
            return 0
        return silent_ms
