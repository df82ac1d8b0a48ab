"""Remembers when each owner was last heard."""

from typing import final

from ..model.ids import VmId

__all__ = ('OwnerSigns',)


@final
class OwnerSigns:
    """The last reply of each owner, over all queries of this daemon.

    An owner heard since an attempt was sent is alive, so a slow attempt is
    the backend server's doing and the owner itself can pick another one.
    """

    def __init__(self) -> None:
        """Start with no owner heard."""
        self._heard_ms: dict[VmId, float] = {}

    def hear(self, vm: VmId, now_ms: float) -> None:
        """Note a reply."""
        self._heard_ms[vm] = now_ms

    def heard_since(self, vm: VmId, sent_ms: float) -> bool:
        """Whether the owner replied to anything after this time."""
        heard_ms = self._heard_ms.get(vm)
        return heard_ms is not None and heard_ms > sent_ms
