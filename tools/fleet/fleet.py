"""A whole fleet on loopback, started and ended as one."""

from collections.abc import Iterable
from contextlib import ExitStack
from pathlib import Path
from tempfile import TemporaryDirectory
from typing import Final, Self, final

from .clients import BackendControl, ConfigService, is_ready
from .documents import documents
from .layout import lay_out
from .members import (
    backend_processes,
    config_process,
    daemon_processes,
)
from .processes import Process, wait_until
from .scenario import Scenario

__all__ = ('Fleet',)

_READY_S: Final = 20.0
_HEADS: Final = '/v1/heads?since=0&wait_ms=0'


@final
class Fleet:
    """Runs a scenario until the context ends; it ends only its own processes.

    :ivar scenario: what is run.
    :ivar layout: every address.
    :ivar config: publishes and withdraws documents.
    :ivar vms: the daemons' places, by name.
    :ivar members: every process, by name.
    """

    def __init__(self, scenario: Scenario, folder: Path | None = None) -> None:
        """Lay out the fleet without starting it.

        :param folder: where settings and logs are kept; by default a
            temporary one.
        """
        self.scenario = scenario
        self.layout = lay_out(scenario)
        self.config = ConfigService(self.layout.config_port)
        self.vms = {place.vm: place for place in self.layout.vms}
        self.members: dict[str, Process] = {}
        self._folder = folder
        self._open = ExitStack()

    def __enter__(self) -> Self:
        """Start every process, publish, and wait until all are ready."""
        with self._open as started:
            folder = self._folder
            if folder is None:
                folder = Path(started.enter_context(TemporaryDirectory()))
            started.enter_context(self.config)
            self._start_platform(folder)
            self._start(daemon_processes(self.layout, folder))
            self.wait_ready(self.vms)
            self._open = started.pop_all()
        return self

    def __exit__(self, *error: object) -> None:
        """End every process."""
        self._open.close()

    def backend(self, name: str) -> BackendControl:
        """Give the control of one backend server, to be closed."""
        ports = {place.backend: place.port for place in self.layout.backends}
        return BackendControl(ports[name])

    def wait_ready(
        self,
        vms: Iterable[str],
        timeout_s: float = _READY_S,
    ) -> None:
        """Wait until the daemons named say that they are ready."""
        for name in vms:
            _wait_port(
                self.members[name],
                self.vms[name].operator_port,
                '/readyz',
                timeout_s,
            )

    def _start_platform(self, folder: Path) -> None:
        service = config_process(self.layout, folder)
        self._start((service,))
        self._start(backend_processes(self.scenario, self.layout, folder))
        _wait_port(service, self.layout.config_port, _HEADS, _READY_S)
        for key, body in documents(self.scenario, self.layout):
            self.config.publish(key, body)
        for place in self.layout.backends:
            _wait_port(
                self.members[place.process],
                place.port,
                '/v1/health',
                _READY_S,
            )

    def _start(self, processes: Iterable[Process]) -> None:
        for process in processes:
            self.members[process.name] = process
            self._open.callback(process.end)
            process.start()


def _wait_port(
    process: Process,
    port: int,
    path: str,
    timeout_s: float,
) -> None:
    wait_until(lambda: is_ready(port, path), process, timeout_s)
