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
from .trial import RUN_MS

__all__ = ('measure_neighbour',)

_SEED: Final = 1
_P99: Final = 0.99
_GREEDY: Final = CustomerId('greedy')
_QUIET: Final = CustomerId('quiet')
_GREED: Final = 10
_PRIORITY: Final = Priority.INTERACTIVE
_VM: Final = VmId('a')


def measure_neighbour(run_ms: float = RUN_MS) -> Iterator[Row]:
    """Let one customer ask for ten times its contract beside another."""
    calm = _run_two(1, run_ms, admitting=True)
    admitting = _run_two(_GREED, run_ms, admitting=True)
    open_door = _run_two(_GREED, run_ms, admitting=False)
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


def _run_two(greed: float, run_ms: float, *, admitting: bool) -> list[Ended]:
    loop = Loop()
    random = Random(_SEED)
    servers = make_servers((10, 10), loop, random)
    gate = _Gate(OwnerRun(_VM, servers, loop), loop, admitting=admitting)
    for stream in _list_streams(greed):
        arrive(stream, tuple(servers), loop, random, gate.take)
    loop.run(run_ms)
    return gate.owner.ended


def _list_streams(greed: float) -> tuple[Stream, ...]:
    return (
        Stream(_GREEDY, _PRIORITY, greed * WORK_PER_S, DEADLINE_MS),
        Stream(_QUIET, _PRIORITY, WORK_PER_S / 2, DEADLINE_MS),
    )


class _Gate:
    """Admits sub-requests by contract, or all of them.

    :ivar owner: takes what is admitted.
    """

    def __init__(self, owner: OwnerRun, loop: Loop, *, admitting: bool) -> None:
        """Stand before an owner."""
        self.owner = owner
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
        self.owner.offer(sub_request)


def _of(ended: Sequence[Ended], customer: CustomerId) -> list[Ended]:
    return [each for each in ended if each.sub_request.customer == customer]
