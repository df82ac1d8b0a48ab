"""What one customer's greed costs another."""

from collections.abc import Iterator, Sequence
from random import Random
from typing import Final

from dandelionstage.limits.admission import Admission
from dandelionstage.model.contract import Priority
from dandelionstage.model.ids import CustomerId, VmId
from dandelionstage.model.messages import SubRequest

from .arrivals import Stream, arrive, make_servers
from .contracts import (
    DEADLINE_MS,
    WORK_PER_S,
    make_contract,
    publish_contracts,
)
from .loop import Loop
from .owner_run import HERE, Ended, OwnerRun
from .rows import Row, share, took_ms

__all__ = ('measure_neighbour',)

_SEED: Final = 1
_RUN_MS: Final = 30_000
_P99: Final = 0.99
_GREEDY: Final = CustomerId('greedy')
_QUIET: Final = CustomerId('quiet')
_GREED: Final = 10
_VM: Final = VmId('a')


def measure_neighbour() -> Iterator[Row]:
    """Let one customer ask for ten times its contract beside another."""
    calm = _run_two(1, admitting=True)
    admitting = _run_two(_GREED, admitting=True)
    open_door = _run_two(_GREED, admitting=False)
    yield Row(
        'neighbour at 10x, admission / none: p99 in ms',
        took_ms(_of(admitting, _QUIET), _P99),
        took_ms(_of(open_door, _QUIET), _P99),
    )
    yield Row(
        '  answered in time',
        share(_of(admitting, _QUIET)),
        share(_of(open_door, _QUIET)),
    )
    yield Row(
        '  p99 in ms beside the neighbour at 10x / at 1x',
        took_ms(_of(admitting, _QUIET), _P99),
        took_ms(_of(calm, _QUIET), _P99),
    )


def _run_two(greed: float, *, admitting: bool) -> list[Ended]:
    loop, random = Loop(), Random(_SEED)
    servers = make_servers((10, 10), loop, random)
    owner = OwnerRun(_VM, servers, loop)
    gate = _Gate(owner, loop, admitting=admitting)
    for customer, per_s in (
        (_GREEDY, greed * WORK_PER_S),
        (_QUIET, WORK_PER_S / 2),
    ):
        stream = Stream(customer, Priority.INTERACTIVE, per_s, DEADLINE_MS)
        arrive(stream, tuple(servers), loop, random, gate.take)
    loop.run(_RUN_MS)
    return owner.ended


class _Gate:
    """Admits sub-requests by contract, or all of them."""

    def __init__(self, owner: OwnerRun, loop: Loop, *, admitting: bool) -> None:
        """Stand before an owner."""
        self._owner = owner
        self._loop = loop
        self._admitting = admitting
        self._contracts = {
            each: make_contract(each) for each in (_GREEDY, _QUIET)
        }
        self._admission = Admission(_VM, HERE, Random(_SEED))
        self._admission.use_topology(
            publish_contracts(self._contracts, (_VM,)),
            0,
        )

    def take(self, sub_request: SubRequest) -> None:
        """Hand on what is admitted."""
        if self._admitting:
            contract = self._contracts[sub_request.customer]
            if self._admission.admit(contract, 1, self._loop.now_ms):
                return
            self._admission.release(contract)
        self._owner.offer(sub_request)


def _of(ended: Sequence[Ended], customer: CustomerId) -> list[Ended]:
    return [each for each in ended if each.sub_request.customer == customer]
