"""One run: a fleet, a load, faults on schedule, and what was measured."""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from typing import Final, final

import anyio
from anyio.to_thread import run_sync

from tools.fleet.fleet import Fleet

from .load import offer
from .looks import DaemonCounts, Look, Maxima, look_at
from .outcomes import Outcome
from .variants import Fault, Variant

__all__ = ('Run', 'run_variant')

_WARM_UP_S: Final = 3
_WARM_UP_SEED: Final = 2
_SEED: Final = 1


@final
@dataclass(frozen=True, slots=True)
class Run:
    """What one run left to look at; counts are of the load alone.

    :ivar starts: calls that backend servers started.
    :ivar maxima: since the fleet began.
    :ivar cpu_s: processor time of all daemons.
    """

    variant: Variant
    outcomes: Sequence[Outcome]
    starts: int
    maxima: Maxima
    cpu_s: float
    primaries: int
    extra_load: int

    @property
    def extra_load_fraction(self) -> float:
        """Hedges and retries per first sub-request."""
        return self.extra_load / self.primaries if self.primaries else 0


def run_variant(variant: Variant) -> Run:
    """Start the fleet, warm it up, offer the load and look at the fleet."""
    with Fleet(variant.scenario) as fleet:
        anyio.run(_warm_up, variant, fleet)
        before = look_at(fleet)
        outcomes = anyio.run(_offer, variant, fleet)
        return _compare(variant, outcomes, before, look_at(fleet))


def _compare(
    variant: Variant,
    outcomes: Sequence[Outcome],
    before: Look,
    after: Look,
) -> Run:
    # A daemon that was lost on the way is left out on both sides.
    earlier = [before.daemons[vm] for vm in after.daemons]
    later = after.daemons.values()
    return Run(
        variant=variant,
        outcomes=outcomes,
        starts=after.starts - before.starts,
        maxima=after.maxima,
        cpu_s=_sum(later, 'cpu_s') - _sum(earlier, 'cpu_s'),
        primaries=int(_sum(later, 'primaries') - _sum(earlier, 'primaries')),
        extra_load=int(_sum(later, 'extra_load') - _sum(earlier, 'extra_load')),
    )


def _sum(daemons: Iterable[DaemonCounts], field: str) -> float:
    return float(sum(getattr(daemon, field) for daemon in daemons))


async def _warm_up(variant: Variant, fleet: Fleet) -> None:
    places = fleet.layout.vms
    await offer(variant.streams, places, _WARM_UP_S, _WARM_UP_SEED)


async def _offer(variant: Variant, fleet: Fleet) -> list[Outcome]:
    outcomes: list[Outcome] = []
    async with anyio.create_task_group() as group:
        for fault in variant.faults:
            group.start_soon(_strike, fault, fleet)
        outcomes.extend(
            await offer(
                variant.streams,
                fleet.layout.vms,
                variant.duration_s,
                _SEED,
            ),
        )
    return outcomes


async def _strike(fault: Fault, fleet: Fleet) -> None:
    await anyio.sleep(fault.at_s)
    await run_sync(fault.strike, fleet)
