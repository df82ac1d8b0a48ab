"""Gives each member of a scenario its ports and its place."""

from collections.abc import Iterator
from dataclasses import dataclass
from itertools import product
from typing import Final, final

from .ports import PortPicker
from .scenario import Scenario, WorkloadShape

__all__ = ('BackendPlace', 'Layout', 'VmPlace', 'lay_out')

_SHARED: Final = 'backends-{0}-{1}'


@final
@dataclass(frozen=True, slots=True)
class VmPlace:
    """Where one daemon listens."""

    vm: str
    data_centre: str
    caller_port: int
    inner_port: int
    operator_port: int


@final
@dataclass(frozen=True, slots=True)
class BackendPlace:
    """Where one backend server listens.

    :ivar alone: whether it runs in a process of its own, or in one with all
        of its workload in its data centre.
    """

    backend: str
    shard: str
    data_centre: str
    port: int
    shape: WorkloadShape
    alone: bool = False

    @property
    def process(self) -> str:
        """The process that serves it: its own or a shared one."""
        if self.alone:
            return self.backend
        return _SHARED.format(self.shape.workload, self.data_centre)


@final
@dataclass(frozen=True, slots=True)
class Layout:
    """Every address of a fleet.

    :ivar ports: keeps other fleets from these ports while it lives.
    """

    ports: PortPicker
    config_port: int
    vms: tuple[VmPlace, ...]
    backends: tuple[BackendPlace, ...]


def lay_out(scenario: Scenario) -> Layout:
    """Pick a free port for each listener of a scenario."""
    ports = PortPicker()
    return Layout(
        ports=ports,
        config_port=ports.pick(),
        vms=tuple(_place_vms(scenario, ports)),
        backends=tuple(
            place
            for shape in scenario.workloads
            for place in _place_backends(scenario, shape, ports)
        ),
    )


def _place_vms(scenario: Scenario, ports: PortPicker) -> Iterator[VmPlace]:
    for data_centre in scenario.data_centres:
        for number in range(1, scenario.vms + 1):
            yield VmPlace(
                vm='{0}.{1}'.format(data_centre, number),
                data_centre=data_centre,
                caller_port=ports.pick(),
                inner_port=ports.pick(),
                operator_port=ports.pick(),
            )


def _place_backends(
    scenario: Scenario,
    shape: WorkloadShape,
    ports: PortPicker,
) -> Iterator[BackendPlace]:
    for index, replica in product(range(shape.shards), range(shape.replicas)):
        yield BackendPlace(
            backend=shape.backend(index, replica),
            shard=shape.shard(index),
            data_centre=scenario.home(shape, index, replica),
            port=ports.pick(),
            shape=shape,
            alone=shape.shard(index) in scenario.apart,
        )
