"""Scenarios and loads that several experiments share."""

from dataclasses import replace
from typing import Any, Final

from tools.fleet.scenario import Customer, Scenario
from tools.fleet.scenarios import bg_south

from ..streams import Stream

__all__ = ('desk_scenario', 'stream')

_DESK: Final = 'finder-desk'
_DATA_CENTRES: Final = 2
_VMS: Final = 2


def desk_scenario(
    customers: tuple[Customer, ...],
    service_ms: float,
    shards: int = 20,
    **changes: Any,
) -> Scenario:
    """Describe finder-desk alone, in two data centres with two VMs each.

    :param service_ms: how long a backend server works on a request.
    """
    scenario = bg_south(
        data_centres=_DATA_CENTRES,
        vms=_VMS,
        shards=shards,
        sync_shards=0,
    )
    desk = next(
        shape for shape in scenario.workloads if shape.workload == _DESK
    )
    desk = replace(desk, service_ms=service_ms)
    return replace(
        scenario,
        workloads=(desk,),
        customers=customers,
        **changes,
    )


def stream(scenario: Scenario, customer: str, rate_per_s: float) -> Stream:
    """Describe a customer's queries to finder-desk."""
    return Stream(customer, scenario.key_of(customer), _DESK, rate_per_s)
