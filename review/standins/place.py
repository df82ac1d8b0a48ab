"""A small deployment on loopback: the store, backends and the gateway."""

import asyncio
import json
import os
import random
import signal
import socket
import subprocess
import sys
import tempfile
import tomllib
from collections.abc import Awaitable, Callable, Mapping, Sequence
from pathlib import Path

from .backend import Backend
from .http import Connection, now_s
from .store import Store

ROOT = Path(__file__).resolve().parents[2]
HOST = 'h.example'
#: Longest time that a script may take.
_LIMIT_S = 110.0
_METRICS_PORT = 9464


class Record:
    """What was sent, answered and run, with the time of each line."""

    def __init__(self, path: Path) -> None:
        self._file = path.open('w')
        self._start_s = now_s()

    def note(self, text: str) -> None:
        """Write a line."""
        self._file.write('{0:9.3f} {1}\n'.format(now_s() - self._start_s, text))
        self._file.flush()


class Vm:
    """One machine with the gateway process of the deploy file."""

    def __init__(self, name: str, host: str, settings: Path, log: Path) -> None:
        self.name = name
        self.host = host
        self._settings = settings
        self._log = log
        self.process: subprocess.Popen[bytes] | None = None

    def start(self) -> None:
        """Start the process with the command of the deploy file."""
        deploy = tomllib.loads((ROOT / 'deploy/system.toml').read_text())
        command = deploy['roles']['gateway']['run'].split(' ')
        with self._log.open('ab') as log:
            self.process = subprocess.Popen(
                command,
                cwd=ROOT,
                env={
                    'PATH': os.environ['PATH'],
                    'HOME': os.environ.get('HOME', '.'),
                    'LANG': 'C.UTF-8',
                    'PYTHONPATH': 'target/deps',
                    'DANDELIONSTAGE_BOOT': str(self._settings),
                },
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )

    def send(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        assert self.process is not None
        self.process.send_signal(number)

    def is_running(self) -> bool:
        """Whether the process has not ended."""
        return self.process is not None and self.process.poll() is None

    def end(self) -> None:
        """Kill the process and wait for its end."""
        if self.process is not None:
            if self.process.poll() is None:
                self.process.kill()
            self.process.wait()


class Place:
    """A store, backends and machines, and the record of a case.

    :ivar has_trouble: whether to play the disruption.
    """

    def __init__(self, folder: Path, record: Record) -> None:
        self.record = record
        self.has_trouble = os.environ.get('TROUBLE', '1') != '0'
        self.backends: dict[str, Backend] = {}
        self.vms: list[Vm] = []
        self._folder = folder
        self._network = _free_network()
        self.ports = _free_ports(self._network + '.250', 5)
        self.store = Store(self._network + '.250', self.ports[0])
        self.front_port = self.ports[1]
        self.ready_port = self.ports[2]

    async def add_backend(
        self, service: str, zone: str = 'a', work_ms: float = 5
    ) -> Backend:
        """Start a backend and list it in the store."""
        number = len(self.backends) + 1
        name = 'i-{0:04x}'.format(number * 37)
        host = '{0}.{1}'.format(self._network, 100 + number)
        backend = Backend(name, service, host, self.ports[3], work_ms)
        await backend.port.start()
        self.backends[name] = backend
        self.store.put('servers/' + name, backend.entry(zone))
        self.record.note('backend {0} of {1} listed'.format(name, service))
        return backend

    def publish(
        self, version: int, routes: Sequence[Mapping[str, object]]
    ) -> None:
        """Write a configuration; it is acknowledged when this returns."""
        services = sorted({each.service for each in self.backends.values()})
        self.store.put(
            'op/config',
            {
                'version': version,
                'routes': list(routes),
                'services': [
                    {
                        'name': name,
                        'healthCheckPath': '/health',
                        'maxConnections': 100,
                        'protocol': 'h1',
                        'tls': False,
                    }
                    for name in services
                ],
                'limits': {
                    'maxHeaderBytes': 16384,
                    'maxBodyBytes': 262144,
                    'headerTimeoutMs': 5000,
                    'idleTimeoutMs': 30000,
                },
            },
        )
        self.record.note('configuration {0} acknowledged'.format(version))

    def add_vms(self, count: int) -> None:
        """Start machines with the settings of a small deployment."""
        hosts = [
            '{0}.{1}'.format(self._network, number + 1)
            for number in range(count)
        ]
        for number, host in enumerate(hosts):
            name = 'front-a-{0}'.format(number + 1)
            settings = self._folder / '{0}.json'.format(name)
            settings.write_text(
                json.dumps(self._settings_of(name, host, hosts))
            )
            vm = Vm(name, host, settings, self._folder / (name + '.log'))
            vm.start()
            self.vms.append(vm)

    async def until_ready(self, vm: Vm, timeout_s: float = 20) -> None:
        """Wait until the machine reports itself ready."""
        end_s = now_s() + timeout_s
        while now_s() < end_s:
            connection = Connection(vm.host, self.ready_port)
            answer = await connection.ask(
                'GET', '/api/ready', {'Host': 'platform'}
            )
            connection.close()
            if answer.status == 200:
                return
            await asyncio.sleep(0.1)
        raise CannotRun('{0} is not ready'.format(vm.name))

    def caller(self, vm: Vm) -> Connection:
        """Return a connection of a client to a machine."""
        return Connection(vm.host, self.front_port)

    async def end(self) -> None:
        """End everything that was started."""
        for vm in self.vms:
            vm.end()
        for backend in self.backends.values():
            await backend.port.close()
        await self.store.port.close()

    def copy_logs(self, folder: Path) -> None:
        """Keep the logs of the machines, for whoever looks into a case."""
        for log in self._folder.glob('*.log'):
            (folder / log.name).write_bytes(log.read_bytes())

    def _settings_of(
        self, name: str, host: str, hosts: Sequence[str]
    ) -> dict[str, object]:
        control_port = self.ports[4]
        return {
            'nodeName': name,
            'role': 'gateway',
            'nodeClass': 'front',
            'serves': ['front', 'control'],
            'ip': host,
            'zone': 'a',
            'region': 'r',
            'zones': {'a': 'r'},
            'listenAddrs': {
                'front': '{0}:{1}'.format(host, self.front_port),
                'ready': '{0}:{1}'.format(host, self.ready_port),
                'control': '{0}:{1}'.format(host, control_port),
            },
            'internalPortRange': [7380, 7395],
            'seeds': [
                '{0}:{1}'.format(each, control_port) for each in hosts[:3]
            ],
            'bootstrap': True,
            'limits': {
                'cpuShare': 0.731,
                'cores': 1,
                'memoryMb': 222,
                'maxFds': 1535,
                'linkMbps': 350.0,
                'diskMb': 0,
            },
            'dataDir': None,
            'discovery': 'platform',
            'entry': 'vip',
            'heartbeatMs': 1200,
            'bounds': {
                'seedLagS': 3,
                'reuseAfterS': 2,
                'stabilityWindowMs': 4000,
                'ackMs': 5000,
                'catchUpS': 4,
                'drainMs': 3000,
                'graceS': 6,
                'lossSlackMs': 200,
                'configApplyMs': 3000,
                'rollbackSlackMs': 250,
                'skewMaxMs': 12000,
                'retryBudgetRatio': 0.2,
                'budgetWindowS': 10,
                'retryBudgetSlack': 108,
                'recoveryS': 12,
            },
            'platform': {
                'address': self.store.address,
                'form': 'read',
                'readsPerS': 2000,
                'historyS': 20,
                'valueBytes': 1048576,
            },
        }


class CannotRun(Exception):
    """The case could not be played."""


def route(name: str, kind: str, **more: object) -> dict[str, object]:
    """Return a route of the configuration."""
    return {
        'name': name,
        'host': HOST,
        'prefix': '/{0}/'.format(name),
        'routeType': kind,
        'timeoutMs': 2000,
        'targetLatencyMs': 250,
        'priority': 1,
        'attempts': 2,
        **more,
    }


def play(folder: Path, case: Callable[[Place], Awaitable[str]]) -> None:
    """Play a case and exit with 1 if it names a broken rule, else 0.

    The exit code is 2 if the case could not be played.
    """
    code = 2
    record = Record(folder / 'record.txt')
    try:
        broken = asyncio.run(_play(folder, case, record))
        code = 1 if broken else 0
        record.note('broken: {0}'.format(broken) if broken else 'rule held')
        sys.stdout.write('{0}\n'.format(broken or 'rule held'))
    except (CannotRun, TimeoutError, OSError) as error:
        record.note('could not run: {0!r}'.format(error))
        sys.stdout.write('could not run: {0!r}\n'.format(error))
    sys.exit(code)


async def _play(
    folder: Path, case: Callable[[Place], Awaitable[str]], record: Record
) -> str:
    if not (ROOT / 'target/deps/dandelionstage').is_dir():
        raise CannotRun('the build of the deploy file is missing')
    with tempfile.TemporaryDirectory() as scratch:
        place = Place(Path(scratch), record)
        try:
            await place.store.port.start()
            async with asyncio.timeout(_LIMIT_S):
                return await case(place)
        finally:
            await place.end()
            if 'KEEP_LOGS' in os.environ:
                place.copy_logs(Path(os.environ['KEEP_LOGS']))


def _free_network() -> str:
    """Return the first three numbers of a loopback network not in use."""
    for _ in range(50):
        network = '127.{0}.{1}'.format(
            random.randint(10, 250), random.randint(1, 250)
        )
        if _is_free(network + '.1', _METRICS_PORT) and _is_free(
            network + '.1', 7380
        ):
            return network
    raise CannotRun('no free loopback network')


def _is_free(host: str, port: int) -> bool:
    with socket.socket() as probe:
        try:
            probe.bind((host, port))
        except OSError:
            return False
    return True


def _free_ports(host: str, count: int) -> list[int]:
    probes = [socket.socket() for _ in range(count)]
    for probe in probes:
        probe.bind((host, 0))
    ports = [probe.getsockname()[1] for probe in probes]
    for probe in probes:
        probe.close()
    return ports
