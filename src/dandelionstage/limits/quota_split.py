"""How a customer's contract is split over the VMs of the fleet."""

from dataclasses import dataclass
from typing import Final, final

from ..model.contract import Contract
from ..model.ids import VmId
from ..routing.rendezvous import rank_vms
from .published_share import NO_SHARE, PublishedShare, make_digest
from .published_vms import PublishedVms
from .server_split import HEADROOM_VMS

__all__ = ('NO_QUOTA', 'QuotaShare', 'split_quota')

#: Part of a data centre's quota that its VMs hold without asking anyone.
_STATIC_FRACTION: Final = 0.25
#: VMs of a data centre that lend the rest in equal parts.
_STEWARDS: Final = 3


@final
@dataclass(frozen=True, slots=True)
class QuotaShare:
    """One VM's share of a contract's ``work_per_s``.

    :ivar static_per_s: work that it may admit cut off from all others.
    :ivar view: what it may lend, as one of the stewards.
    """

    static_per_s: float
    pool_share: PublishedShare


NO_QUOTA: Final = QuotaShare(0, NO_SHARE)


def split_quota(
    vm: VmId, contract: Contract, published: PublishedVms, data_centres: int
) -> QuotaShare:
    """Work out one VM's share.

    Static shares leave room for lists that differ by ``HEAD_ROOM`` VMs: of
    all VMs that any such list names, each takes at most its part.
    """
    if vm not in published.listed:
        return NO_QUOTA
    work_per_s = contract.work_per_s / data_centres
    static_per_s = work_per_s * _STATIC_FRACTION
    return QuotaShare(
        static_per_s / (len(published.listed) + HEADROOM_VMS),
        _view_pool(vm, contract, published, work_per_s - static_per_s),
    )


def _view_pool(
    vm: VmId, contract: Contract, published: PublishedVms, pool_per_s: float
) -> PublishedShare:
    name = 'quota/{0}'.format(contract.customer)
    stewards = rank_vms(name, published.live)[:_STEWARDS]
    part_per_s = pool_per_s / max(1, len(stewards))
    return PublishedShare(
        amount=part_per_s if vm in stewards else 0,
        lenders=tuple(each for each in stewards if each != vm),
        possible_holders=published.listed - {vm},
        digest=make_digest(pool_per_s, stewards),
    )
