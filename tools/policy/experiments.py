"""The comparisons: each policy against its baseline, with one seed."""

from collections.abc import Iterator
from dataclasses import replace
from typing import Final

from dandelionstage.model.contract import Priority
from dandelionstage.model.messages import SubRequest
from dandelionstage.routing.replica_choice import (
    choose_earliest_finish,
    choose_of_two,
)

from .rows import Row, share, took_ms
from .trial import RUN_MS, Trial, run_trial

__all__ = ('compare_choice', 'compare_order', 'compare_owner')

_P99: Final = 0.99
_BUSY: Final = 0.8
_BATCH: Final = 0.8
_OVERLOAD: Final = 3
_LONG_MS: Final = 10_000
_STRAGGLER_MEANS_MS: Final = (10, 100)


def compare_choice() -> Iterator[Row]:
    """Weigh least time to finish against two random choices."""
    for means_ms, load in (((10, 10), 0.7), (_STRAGGLER_MEANS_MS, 0.3)):
        least, of_two = (
            run_trial(Trial(means_ms=means_ms, load=load, choose=choose))
            for choose in (choose_earliest_finish, choose_of_two)
        )
        yield Row(
            'replica choice, means {0} ms: p99 in ms'.format(means_ms),
            took_ms(least.ended, _P99),
            took_ms(of_two.ended, _P99),
        )


def compare_owner(run_ms: float = RUN_MS) -> Iterator[Row]:
    """Weigh one owner against each entry for itself."""
    owner = run_trial(Trial(load=_BUSY, run_ms=run_ms))
    direct = run_trial(Trial(load=_BUSY, entries=5, run_ms=run_ms))
    yield Row(
        'one owner / direct from 5 entries: p99 in ms',
        took_ms(owner.ended, _P99),
        took_ms(direct.ended, _P99),
    )
    yield Row('  answered in time', share(owner.ended), share(direct.ended))
    yield Row('  slot overruns per attempt', owner.overruns, direct.overruns)
    yield Row('  attempts per sub-request', owner.attempts, direct.attempts)


def compare_order(run_ms: float = RUN_MS) -> Iterator[Row]:
    """Weigh the priority queue against first come, first served."""
    crowd = Trial(load=_OVERLOAD, urgent=0.1, batch=_BATCH, run_ms=run_ms)
    full = run_trial(replace(crowd, load=1))
    queue = run_trial(crowd)
    fifo = run_trial(replace(crowd, disguise=_hide))
    for priority in Priority:
        yield Row(
            'priority queue / FIFO at 3x: {0} in time'.format(priority.value),
            share(queue.of(priority)),
            share(fifo.of(priority)),
        )
    yield Row(
        '  useful answers, of those at full load',
        queue.useful / full.useful,
        fifo.useful / full.useful,
    )
    yield Row('  expired starts', queue.late_starts, fifo.late_starts)
    yield Row('  attempts per sub-request', queue.attempts, fifo.attempts)


def _hide(sub_request: SubRequest) -> SubRequest:
    """Make all work look alike, so that it starts as it came."""
    return replace(
        sub_request,
        priority=Priority.INTERACTIVE,
        remaining_ms=_LONG_MS,
    )
