"""What a fleet does while nobody asks it anything."""

import time
from typing import Final, NamedTuple, final

import psutil

from tools.fleet.fleet import Fleet
from tools.fleet.scenario import Customer

__all__ = ('Seen', 'measure_memory_mib', 'watch')

_CHANGES_PER_S: Final = 1
_MEBIBYTE: Final = 1_048_576
_PERCENT: Final = 100


@final
class Seen(NamedTuple):
    """Processor share of a daemon, and reads of the service by all."""

    cpu_percent: float
    reads_per_s: float


def measure_memory_mib(fleet: Fleet) -> float:
    """Measure the mean resident memory of a daemon."""
    memory = [
        psutil.Process(fleet.members[vm].pid).memory_info().rss
        for vm in fleet.vms
    ]
    return float(sum(memory)) / len(memory) / _MEBIBYTE


def watch(fleet: Fleet, duration_s: float, *, changing: bool) -> Seen:
    """Watch a fleet without load.

    :param changing: whether a contract is published each second.
    """
    cpu_s, reads = _cpu_s(fleet), fleet.config.reads()
    ends_s = time.monotonic() + duration_s
    while time.monotonic() < ends_s:
        if changing:
            _change_contract(fleet)
        time.sleep(1 / _CHANGES_PER_S)
    used_s = (_cpu_s(fleet) - cpu_s) / len(fleet.vms)
    read = fleet.config.reads() - reads
    return Seen(used_s / duration_s * _PERCENT, read / duration_s)


def _change_contract(fleet: Fleet) -> None:
    customer: Customer = fleet.scenario.customers[0]
    fleet.config.publish(
        'contract/{0}'.format(customer.customer),
        customer.contract(),
    )


def _cpu_s(fleet: Fleet) -> float:
    times = [
        psutil.Process(fleet.members[vm].pid).cpu_times() for vm in fleet.vms
    ]
    return float(sum(each.user + each.system for each in times))
