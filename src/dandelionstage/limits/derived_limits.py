"""Every limit that follows from a customer's contract."""

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

#: Share of the deadline kept for gathering and answering.
_GATHER_FRACTION: Final = 0.05
#: A balancer may send one VM this many times its share of queries.
_UNEVEN_BALANCE: Final = 3
_FEWEST_CONCURRENT: Final = 4
#: Time over which unused quota may be saved up.
_BURST_S: Final = 1.0
_MS_PER_S: Final = 1000


def _limit(unit: str, derived_from: str) -> Any:
    return field(metadata={'unit': unit, 'derived_from': derived_from})


@final
@dataclass(frozen=True, slots=True)
class DerivedLimits:
    """What one VM enforces for one customer; nothing is set by hand."""

    query_deadline_ms: int = _limit('ms', 'deadline_ms')
    sub_request_deadline_ms: float = _limit(
        'ms',
        'deadline_ms less {0:.0%} to gather'.format(_GATHER_FRACTION),
    )
    minimum_shards: int = _limit('shards', 'minimum_coverage x shards')
    work_per_query: int = _limit('sub-requests', 'shards')
    queries_per_s: float = _limit('queries/s', 'work_per_s / shards')
    data_centre_work_per_s: float = _limit(
        'sub-requests/s',
        'work_per_s / data centres',
    )
    burst_work: float = _limit(
        'sub-requests',
        'data centre work_per_s x {0:g} s, at least one query'.format(_BURST_S),
    )
    concurrent_queries: int = _limit(
        'queries',
        'queries/s of a VM x deadline_ms x {0} for uneven balance'.format(
            _UNEVEN_BALANCE,
        ),
    )
    extra_work_per_s: float = _limit(
        'sub-requests/s',
        'extra_load_fraction x work_per_s',
    )


@final
@dataclass(frozen=True, slots=True)
class Explanation:
    """One derived limit and where it comes from.

    :ivar unit: of the value.
    """

    limit: str
    value: float
    unit: str
    derived_from: str


def derive_limits(contract: Contract, sizes: FleetSizes) -> DerivedLimits:
    """Work out the limits of one VM."""
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
    """Say each derived limit and from what it follows."""
    limits = derive_limits(contract, sizes)
    return tuple(_explain_field(limits, each) for each in fields(limits))


def _explain_field(limits: DerivedLimits, each: 'Field[Any]') -> Explanation:
    return Explanation(
        limit=each.name,
        value=getattr(limits, each.name),
        unit=each.metadata['unit'],
        derived_from=each.metadata['derived_from'],
    )


def _bound_concurrency(contract: Contract, sizes: FleetSizes) -> int:
    """Apply Little's law (Little 1961) to one VM's share of queries."""
    vms = sizes.data_centres * sizes.vms
    queries_per_s = contract.work_per_s / sizes.shards / vms
    concurrent = queries_per_s * contract.deadline_ms / _MS_PER_S
    return max(_FEWEST_CONCURRENT, math.ceil(concurrent * _UNEVEN_BALANCE))
