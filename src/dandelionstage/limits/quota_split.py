"""Splits the quota of a customer's contract over the VMs of the fleet."""

from dataclasses import dataclass
from typing import Final, final

from ..model.contract import Contract
from ..model.ids import VmId
from ..routing.rendezvous import rank_vms
from .published_share import NO_SHARE, PublishedShare, make_digest
from .published_vms import PublishedVms
from .server_split import HEADROOM_VMS

__all__ = ('NO_QUOTA', 'QuotaShare', 'split_quota')

#: Part of a data centre's quota that is split evenly and never lent.
_STATIC_FRACTION: Final = 0.25
#: Number of VMs in a data centre that hold and lend the rest, the pool.
_LENDER_COUNT: Final = 3


@final
@dataclass(frozen=True, slots=True)
class QuotaShare:
    """One VM's share of a contract's ``work_per_s``.

    :ivar static_per_s: sub-requests per second that the VM may admit without
        contact to other VMs.
    :ivar pool_share: the VM's share of the pool, which it may lend.
    """

    static_per_s: float
    pool_share: PublishedShare


NO_QUOTA: Final = QuotaShare(0, NO_SHARE)


def split_quota(
    vm: VmId, contract: Contract, published: PublishedVms, data_centres: int
) -> QuotaShare:
    """Compute one VM's share of a contract.

    Static shares are computed for ``HEADROOM_VMS`` more VMs than are listed,
    so that their sum stays within the quota while the lists of VMs differ by
    up to that many.
    """
    if vm not in published.listed:
        return NO_QUOTA
    work_per_s = contract.work_per_s / data_centres
    static_per_s = work_per_s * _STATIC_FRACTION
    return QuotaShare(
        static_per_s / (len(published.listed) + HEADROOM_VMS),
        _split_pool(vm, contract, published, work_per_s - static_per_s),
    )


def _split_pool(
    vm: VmId, contract: Contract, published: PublishedVms, pool_per_s: float
) -> PublishedShare:
    name = 'quota/{0}'.format(contract.customer)
    lenders = rank_vms(name, published.live)[:_LENDER_COUNT]
    part_per_s = pool_per_s / max(1, len(lenders))
    return PublishedShare(
        amount=part_per_s if vm in lenders else 0,
        lenders=tuple(lender for lender in lenders if lender != vm),
        possible_holders=published.listed - {vm},
        digest=make_digest(pool_per_s, lenders),
    )
