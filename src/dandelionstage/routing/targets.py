"""One owner that a sub-request may be sent to."""

from dataclasses import dataclass
from typing import final

from ..model.ids import BackendId, VmId
from ..model.messages import OwnerKey

__all__ = ('Target',)


@final
@dataclass(frozen=True, slots=True)
class Target:
    """One owner that a sub-request may be sent to.

    :ivar replicas: the backend servers it would choose from.
    """

    vm: VmId
    owner_key: OwnerKey
    replicas: tuple[BackendId, ...]
