"""Limits derived from a customer's contract."""

import math
from dataclasses import Field, dataclass, field, fields
from typing import Any, Final, final

from ..model.contract import Contract
from .fleet_sizes import FleetSizes

__all__ = (
    'DerivedLimits',
    'Explanation',
    'derive_limits',
    'explain_limits',
)

#: Share of the deadline reserved for gathering parts and answering.
_GATHER_FRACTION: Final = 0.05
#: A load balancer may send one VM this many times its even share of queries.
_LOAD_IMBALANCE: Final = 3
_MIN_CONCURRENT_QUERIES: Final = 4
#: Time for which unused quota accumulates.
_BURST_S: Final = 1.0
_MS_PER_S: Final = 1000


def _limit_field(unit: str, derived_from: str) -> Any:
    return field(metadata={'unit': unit, 'derived_from': derived_from})


@final
@dataclass(frozen=True, slots=True)
class DerivedLimits:
    """Limits derived from the contract of one customer.

    ``concurrent_queries`` holds at one VM, ``data_centre_work_per_s`` and
    ``burst_work`` in one data centre, the other rates over the whole fleet.
    """

    query_deadline_ms: int = _limit_field('ms', 'deadline_ms')
    sub_request_deadline_ms: float = _limit_field(
        'ms',
        'deadline_ms less {0:.0%} to gather'.format(_GATHER_FRACTION),
    )
    minimum_shards: int = _limit_field('shards', 'minimum_coverage x shards')
    work_per_query: int = _limit_field('sub-requests', 'shards')
    queries_per_s: float = _limit_field('queries/s', 'work_per_s / shards')
    data_centre_work_per_s: float = _limit_field(
        'sub-requests/s',
        'work_per_s / data centres',
    )
    burst_work: float = _limit_field(
        'sub-requests',
        'data centre work_per_s x {0:g} s, at least one query'.format(_BURST_S),
    )
    concurrent_queries: int = _limit_field(
        'queries',
        'queries/s of a VM x deadline_ms x {0} for uneven balance'.format(
            _LOAD_IMBALANCE,
        ),
    )
    extra_work_per_s: float = _limit_field(
        'sub-requests/s',
        'extra_load_fraction x work_per_s',
    )


@final
@dataclass(frozen=True, slots=True)
class Explanation:
    """One derived limit, its value and how it is derived.

    :ivar limit: name of the limit.
    :ivar value: the limit, in ``unit``.
    :ivar unit: unit of the value.
    :ivar derived_from: formula in terms of the contract and the fleet sizes.
    """

    limit: str
    value: float
    unit: str
    derived_from: str


def derive_limits(contract: Contract, sizes: FleetSizes) -> DerivedLimits:
    """Compute the limits of a contract over a fleet."""
    data_centre_work = contract.work_per_s / sizes.data_centres
    burst_work = max(data_centre_work * _BURST_S, sizes.shards)
    return DerivedLimits(
        query_deadline_ms=contract.deadline_ms,
        sub_request_deadline_ms=contract.deadline_ms * (1 - _GATHER_FRACTION),
        minimum_shards=math.ceil(contract.minimum_coverage * sizes.shards),
        work_per_query=sizes.shards,
        queries_per_s=contract.work_per_s / sizes.shards,
        data_centre_work_per_s=data_centre_work,
        burst_work=burst_work,
        concurrent_queries=_bound_concurrency(contract, sizes),
        extra_work_per_s=contract.extra_load_fraction * contract.work_per_s,
    )


def explain_limits(
    contract: Contract, sizes: FleetSizes
) -> tuple[Explanation, ...]:
    """List all derived limits with the formulas they follow from."""
    limits = derive_limits(contract, sizes)
    return tuple(_explain_field(limits, limit) for limit in fields(limits))


def _explain_field(limits: DerivedLimits, limit: 'Field[Any]') -> Explanation:
    return Explanation(
        limit=limit.name,
        value=getattr(limits, limit.name),
        unit=limit.metadata['unit'],
        derived_from=limit.metadata['derived_from'],
    )


def _bound_concurrency(contract: Contract, sizes: FleetSizes) -> int:
    """Bound the queries in flight at one VM by Little's law (Little 1961)."""
    vms = sizes.data_centres * sizes.vms
    queries_per_s = contract.work_per_s / sizes.shards / vms
    concurrent = queries_per_s * contract.deadline_ms / _MS_PER_S
    return max(_MIN_CONCURRENT_QUERIES, math.ceil(concurrent * _LOAD_IMBALANCE))
