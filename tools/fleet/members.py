"""Describes the processes of a fleet."""

from collections.abc import Iterable
from pathlib import Path
from typing import Final

import yaml

from .daemon_settings import daemon_settings
from .layout import BackendPlace, Layout, VmPlace
from .processes import Process
from .scenario import Scenario

__all__ = (
    'CONFIG_SERVICE',
    'backend_processes',
    'config_process',
    'daemon_processes',
)

#: The name of the configuration service's process.
CONFIG_SERVICE: Final = 'config-service'


def config_process(layout: Layout, folder: Path) -> Process:
    """Describe the stand-in configuration service."""
    return Process(
        CONFIG_SERVICE,
        _log(folder, CONFIG_SERVICE),
        'tools.standins.config_service',
        '--port',
        str(layout.config_port),
    )


def backend_processes(
    scenario: Scenario,
    layout: Layout,
    folder: Path,
) -> tuple[Process, ...]:
    """Describe the stand-in backend servers, several to a process."""
    groups: dict[str, list[BackendPlace]] = {}
    for place in layout.backends:
        groups.setdefault(place.process, []).append(place)
    return tuple(
        Process(
            name,
            _log(folder, name),
            'tools.standins.backend_server',
            *_backend_options(scenario, places),
        )
        for name, places in groups.items()
    )


def daemon_processes(layout: Layout, folder: Path) -> tuple[Process, ...]:
    """Write the settings of each daemon and describe its process."""
    return tuple(_daemon(layout, vm, folder) for vm in layout.vms)


def _daemon(layout: Layout, vm: VmPlace, folder: Path) -> Process:
    path = folder / '{0}.yaml'.format(vm.vm)
    written = daemon_settings(layout, vm).model_dump(mode='json')
    path.write_text(yaml.safe_dump(written, sort_keys=False))
    return Process(
        vm.vm,
        _log(folder, vm.vm),
        'dandelionstage.daemon.main',
        '--settings',
        str(path),
    )


def _backend_options(
    scenario: Scenario,
    places: list[BackendPlace],
) -> Iterable[str]:
    shape = places[0].shape
    for place in places:
        yield '--port={0}'.format(place.port)
        yield '--backend={0}'.format(place.backend)
    yield '--snapshot={0}'.format(scenario.snapshot)
    yield '--slots={0}'.format(shape.slots)
    yield '--max-connections={0}'.format(shape.max_connections)
    yield '--connect-ms={0}'.format(shape.connect_ms)
    yield '--service-ms={0}'.format(shape.service_ms)


def _log(folder: Path, name: str) -> Path:
    return folder / '{0}.log'.format(name)
