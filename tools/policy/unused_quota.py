"""What of a contract cannot be used as its callers come at few VMs."""

from collections.abc import Iterator, Mapping
from random import Random
from typing import Final

from dandelionstage.limits.admission import Admission
from dandelionstage.model.ids import CustomerId, VmId

from .contracts import WORK_PER_S, make_contract, publish_contracts
from .owner_run import HERE
from .rows import Row

__all__ = ('measure_unused',)

_RUN_MS: Final = 30_000
_WARM_MS: Final = 5_000
_STEP_MS: Final = 10
_MEASURED_S: Final = (_RUN_MS - _WARM_MS) / 1000
_NAME: Final = 'admitted of the contract, {0} of 5 VMs busy / formula'
_CUSTOMER: Final = CustomerId('desk')
_CONTRACT: Final = make_contract(_CUSTOMER)
_VMS: Final = tuple(map(VmId, 'abcde'))
_Entries = Mapping[VmId, Admission]


def measure_unused() -> Iterator[Row]:
    """Compare what k of 5 busy VMs get with 1 - 0.25 (1 - k / 7)."""
    listed = len(_VMS)
    for busy in range(1, listed + 1):
        usable = 1 - (1 - busy / (listed + 2)) / 4
        yield Row(_NAME.format(busy), _admit_all(busy), usable)


def _admit_all(busy: int) -> float:
    """Admit as much as is allowed, after the leases have settled."""
    entries = _start_entries()
    used = tuple(entries.values())[:busy]
    admitted = 0
    for now_ms in range(0, _RUN_MS, _STEP_MS):
        taken = sum(_fill(entry, now_ms) for entry in used)
        _exchange(entries, now_ms)
        if now_ms >= _WARM_MS:
            admitted += taken
    return admitted / _MEASURED_S / WORK_PER_S


def _start_entries() -> _Entries:
    topology = publish_contracts({_CUSTOMER: _CONTRACT}, _VMS)
    entries = {vm: Admission(vm, HERE, Random(vm)) for vm in _VMS}
    for entry in entries.values():
        entry.use_topology(topology, 0)
    return entries


def _fill(entry: Admission, now_ms: float) -> int:
    taken = 0
    while entry.admit(_CONTRACT, 1, now_ms) is None:
        entry.release(_CONTRACT)
        taken += 1
    return taken


def _exchange(entries: _Entries, now_ms: float) -> None:
    for vm, entry in entries.items():
        for to, request in entry.quota_leases.requests(now_ms):
            lender = entries[to].quota_leases
            entry.quota_leases.receive_grant(
                to,
                lender.receive_request(vm, request, now_ms),
                now_ms,
            )
