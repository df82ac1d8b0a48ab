"""Stand-ins of the platform's store, of backends and of clients, on loopback.

Only the standard library is used.  A case starts the product as separate
processes, with the command of the deploy file and settings as DEPLOY.md shows
them, and everything else in the process of the script.
"""

import asyncio
import base64
import json
import os
import random
import signal
import socket
import sys
import tempfile
import time
import tomllib
from pathlib import Path
from urllib.parse import parse_qsl, urlsplit

ROOT = Path(__file__).resolve().parents[2]
PAGE_ITEMS = 500
PAGE_BYTES = 1_000_000


def now():
    """Return the steady clock in seconds."""
    return time.monotonic()


class CannotRun(Exception):
    """The case could not be played."""


class Record:
    """Writes what was sent, answered and run."""

    def __init__(self, folder):
        self._file = open(Path(folder) / 'record.txt', 'w')
        self._start = now()

    def __call__(self, what, **fields):
        text = ' '.join(f'{name}={value}' for name, value in fields.items())
        self._file.write(f'{now() - self._start:9.3f} {what} {text}\n')

    def close(self):
        self._file.close()


async def read_head(reader):
    """Read a head; return its first line and its headers, None at the end."""
    try:
        raw = await reader.readuntil(b'\r\n\r\n')
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *lines = raw.decode('latin-1').split('\r\n')[:-2]
    headers = {}
    for line in lines:
        name, _, text = line.partition(':')
        headers[name.strip().lower()] = text.strip()
    return first, headers


async def read_body(reader, headers):
    """Read a body that has a length or comes in chunks."""
    if headers.get('transfer-encoding', '').lower() == 'chunked':
        parts = []
        while True:
            size = int((await reader.readline()).split(b';')[0], 16)
            parts.append(await reader.readexactly(size))
            await reader.readline()
            if not size:
                return b''.join(parts)
    return await reader.readexactly(int(headers.get('content-length', 0)))


class Store:
    """The platform's store: range, key and watch.

    :ivar stale_s: how old answers to serializable reads are.
    """

    def __init__(self):
        self.stale_s = 0
        self._is_silent = False
        self._silences = 0
        self._never = asyncio.Event()
        self._states = []
        self.revision = 100
        self.items = {}
        self.history = []
        self._changed = asyncio.Event()
        self._servers = {}
        self._writers = {}

    async def open(self, host, port):
        self._servers[host, port] = await asyncio.start_server(
            self._serve, host, port
        )

    def leave(self, host, port):
        """Serve an address no more."""
        self._servers.pop((host, port)).close()
        for writer, at in tuple(self._writers.items()):
            if at == (host, port):
                writer.close()

    def put(self, key, value):
        """Write an item as JSON; return the revision."""
        self.revision += 1
        old = self.items.get(key)
        self.items[key] = {
            'key': key,
            'value': base64.b64encode(json.dumps(value).encode()).decode(),
            'revision': self.revision,
            'created': old['created'] if old else self.revision,
            'lease': 0,
        }
        self._note(self.items[key])
        return self.revision

    def remove(self, key):
        """Remove an item."""
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self._note(
                {'key': key, 'revision': self.revision, 'deleted': True}
            )

    def be_silent(self, silent):
        """Answer nothing, or again.

        What arrives or waits meanwhile is never answered, and nothing further
        comes on those connections.
        """
        self._is_silent = silent
        self._silences += silent

    def _note(self, event):
        self._states.append((now(), self.revision, dict(self.items)))
        self.history.append(event)
        self._changed.set()
        self._changed = asyncio.Event()

    async def _serve(self, reader, writer):
        self._writers[writer] = writer.get_extra_info('sockname')[:2]
        try:
            while (head := await read_head(reader)) is not None:
                first, headers = head
                await read_body(reader, headers)
                target = urlsplit(first.split(' ')[1])
                silences = self._silences
                status, body = await self._answer(
                    target.path, dict(parse_qsl(target.query))
                )
                if self._is_silent or self._silences != silences:
                    await self._never.wait()
                raw = json.dumps(body).encode()
                writer.write(
                    b'HTTP/1.1 %d X\r\nContent-Type: application/json\r\n'
                    b'Content-Length: %d\r\n\r\n' % (status, len(raw)) + raw
                )
                await writer.drain()
        except (
            ConnectionError,
            asyncio.IncompleteReadError,
            asyncio.CancelledError,
        ):
            pass
        finally:
            self._writers.pop(writer, None)
            writer.close()

    async def _answer(self, path, query):
        if path == '/api/kv-key':
            item = self.items.get(query.get('key', ''))
            return (200, {**item, 'asOf': self.revision}) if item else (404, {})
        if path == '/api/kv-range':
            return 200, self._page(query)
        if path == '/api/kv-watch':
            return 200, await self._watch(query)
        return 404, {}

    def _page(self, query):
        prefix, after = query.get('prefix', ''), query.get('after', '')
        revision, known = self.revision, self.items
        if query.get('serializable') == '1' and self.stale_s:
            until = now() - self.stale_s
            revision, known = max(
                (state[1:] for state in self._states if state[0] <= until),
                key=lambda state: state[0],
                default=(100, {}),
            )
        keys = sorted(
            key for key in known if key.startswith(prefix) and key > after
        )
        items, size = [], 0
        for key in keys:
            size += len(known[key]['value'])
            if items and (len(items) >= PAGE_ITEMS or size > PAGE_BYTES):
                break
            items.append(known[key])
        return {
            'items': items,
            'hasMore': len(items) < len(keys),
            'asOf': revision,
        }

    async def _watch(self, query):
        after = int(query['after'])
        until = now() + int(query['waitMs']) / 1000
        while True:
            events = [each for each in self.history if each['revision'] > after]
            left = until - now()
            if events or left <= 0:
                return {'events': events, 'asOf': self.revision}
            try:
                await asyncio.wait_for(self._changed.wait(), left)
            except TimeoutError:
                pass


class Backend:
    """A backend with slots and a queue, as PROTOCOL.md describes it.

    :ivar work_s: how long a request takes in a slot.
    :ivar arrived: ids of the requests that reached it.
    :ivar run: ids of the requests that it began to work on.
    """

    def __init__(self, name, service, slots, queue, work_s, body, record):
        self.name = name
        self.service = service
        self.slots = slots
        self.queue = queue
        self.work_s = work_s
        self.body = body
        self.record = record
        self.arrived = []
        self.run = []
        self.seq = 1
        self.born = int(time.time() * 1000)
        self.address = ''
        self._free = asyncio.Semaphore(slots)
        self._inside = 0
        self._server = None

    async def open(self, host, port):
        self.address = f'{host}:{port}'
        self._server = await asyncio.start_server(self._serve, host, port)

    def entry(self, zone, state='ready'):
        self.seq += 1
        return {
            'service': self.service,
            'address': self.address,
            'zone': zone,
            'version': 'v1',
            'slots': self.slots,
            'state': state,
            'warmupLeftMs': 0,
            'seq': self.seq,
            'born': self.born,
        }

    async def _serve(self, reader, writer):
        try:
            while (head := await read_head(reader)) is not None:
                first, headers = head
                await read_body(reader, headers)
                writer.write(await self._answer(first, headers))
                await writer.drain()
        except (
            ConnectionError,
            asyncio.IncompleteReadError,
            asyncio.CancelledError,
        ):
            pass
        finally:
            writer.close()

    async def _answer(self, first, headers):
        request_id = headers.get('x-request-id', '')
        if first.split(' ')[1] == '/health':
            return self._build(200, '', {'X-Instance-Id': self.name})
        not_run = {'X-Not-Executed': '1', 'X-Instance-Id': self.name}
        if headers.get('x-target-instance', self.name) != self.name:
            return self._build(421, request_id, not_run)
        self.arrived.append(request_id)
        self.record('arrived', backend=self.name, id=request_id)
        if self._inside >= self.slots + self.queue:
            return self._build(503, request_id, not_run)
        deadline = now() + int(headers.get('x-request-deadline', 0)) / 1000
        self._inside += 1
        try:
            async with self._free:
                if now() >= deadline:
                    return self._build(503, request_id, not_run)
                self.run.append(request_id)
                self.record('run', backend=self.name, id=request_id)
                await asyncio.sleep(min(self.work_s, deadline - now()))
                if now() >= deadline:
                    return self._build(504, request_id, {})
        finally:
            self._inside -= 1
        return self._build(200, request_id, {}, self.body)

    def _build(self, status, request_id, more, body=b''):
        lines = [f'HTTP/1.1 {status} X', f'Content-Length: {len(body)}']
        if request_id:
            lines.append(f'X-Request-Id: {request_id}')
        if status < 400 or status == 504:
            lines.append(f'X-Response-Stamp: {self.name}.{request_id}')
        lines.extend(f'{name}: {text}' for name, text in more.items())
        return ('\r\n'.join(lines) + '\r\n\r\n').encode() + body


class Lab:
    """A small deployment: a store, backends, and machines of the product."""

    def __init__(self, folder, seed):
        self.record = Record(folder)
        self._random = random.Random(seed)
        self._net = '127.{0}.{1}'.format(
            self._random.randint(20, 240), self._random.randint(1, 250)
        )
        self._dir = tempfile.TemporaryDirectory()
        self.processes = []
        self.store = Store()
        self.backends = []
        self._count = 0

    async def open(self):
        deploy = tomllib.loads((ROOT / 'deploy/system.toml').read_text())
        self._role = deploy['roles']['gateway']
        if not (ROOT / 'target/deps').is_dir():
            raise CannotRun('the deploy file was not built')
        self.store_host = f'{self._net}.250'
        self.store_port = free_port(self.store_host)
        await self.store.open(self.store_host, self.store_port)

    async def add_backend(self, service, zone, **more):
        self._count += 1
        host = f'{self._net}.{100 + self._count}'
        backend = Backend(
            f'i-{self._count:08x}', service, record=self.record, **more
        )
        await backend.open(host, free_port(host))
        self.backends.append(backend)
        self.store.put(f'servers/{backend.name}', backend.entry(zone))
        return backend

    def plan_machines(self, count):
        """Choose addresses and ports; ports are the same on all machines."""
        hosts = [f'{self._net}.{1 + number}' for number in range(count)]
        self.hosts = hosts
        self.front, self.ready, self.control = (
            free_port(hosts[0]) for _ in range(3)
        )
        self.internal = free_port(hosts[0], 16)

    def settings(self, number, zone, zones, region, limits, bounds):
        host = self.hosts[number]
        return {
            'nodeName': f'front-{zone}-{number + 1}',
            'role': 'gateway',
            'nodeClass': 'front',
            'serves': ['front', 'control'],
            'ip': host,
            'zone': zone,
            'region': region,
            'zones': {each: region for each in zones},
            'listenAddrs': {
                'front': f'{host}:{self.front}',
                'ready': f'{host}:{self.ready}',
                'control': f'{host}:{self.control}',
            },
            'internalPortRange': [self.internal, self.internal + 15],
            'seeds': [f'{each}:{self.control}' for each in self.hosts[:3]],
            'bootstrap': True,
            'faultCounted': False,
            'limits': limits,
            'dataDir': None,
            'discovery': 'platform',
            'entry': 'vip',
            'heartbeatMs': 1200,
            'contracts': ['base', 'drain', 'config', 'cost', 'retry',
                          'recover', 'scatter', 'platform'],
            'faultTolerance': {'machines': 2, 'zones': 1, 'regions': 0},
            'bounds': bounds,
            'platform': {
                'address': f'{self.store_host}:{self.store_port}',
                'form': 'read',
                'writesPerS': 400,
                'readsPerS': 2000,
                'historyS': 20,
                'valueBytes': 1048576,
                'ttlMinMs': 1000,
            },
        }

    def write_settings(self, settings):
        """Put the settings file of a machine in place; return its path."""
        path = Path(self._dir.name) / (settings['nodeName'] + '.json')
        draft = path.with_suffix('.new')
        draft.write_text(json.dumps(settings))
        draft.replace(path)
        return path

    async def start_machine(self, settings):
        """Start one machine with the command of the deploy file."""
        path = self.write_settings(settings)
        env = {
            name: os.environ[name]
            for name in ('PATH', 'HOME', 'LANG')
            if name in os.environ
        }
        env['DANDELIONSTAGE_BOOT'] = str(path)
        env['PYTHONPATH'] = str(ROOT / 'target/deps')
        log = open(Path(self._dir.name) / (settings['nodeName'] + '.log'), 'wb')
        process = await asyncio.create_subprocess_exec(
            *self._role['run'].split(),
            cwd=ROOT,
            env=env,
            stdin=asyncio.subprocess.DEVNULL,
            stdout=log,
            stderr=log,
        )
        log.close()
        self.processes.append(process)
        self.record('started', machine=settings['nodeName'], pid=process.pid)
        return process

    def log_of(self, settings):
        """Return what a machine has logged."""
        return (
            Path(self._dir.name) / (settings['nodeName'] + '.log')
        ).read_text(errors='replace')

    async def is_ready(self, number):
        """Ask a machine whether it is ready, as the platform does."""
        try:
            async with asyncio.timeout(1):
                reader, writer = await asyncio.open_connection(
                    self.hosts[number], self.ready
                )
                writer.write(
                    b'GET /api/ready HTTP/1.1\r\nHost: x\r\n'
                    b'Connection: close\r\n\r\n'
                )
                head = await read_head(reader)
                writer.close()
        except OSError:
            return False
        return head is not None and head[0].split(' ')[1] == '200'

    async def until_ready(self, number, limit_s=15):
        until = now() + limit_s
        while not await self.is_ready(number):
            if now() > until:
                raise CannotRun('a machine did not become ready')
            await asyncio.sleep(0.1)

    async def close(self):
        for process in self.processes:
            if process.returncode is None:
                process.send_signal(signal.SIGKILL)
                await process.wait()
        self.record.close()
        self._dir.cleanup()


def free_port(host, count=1):
    """Return the first of some ports that are free on an address."""
    for _ in range(200):
        first = random.randint(12_000, 30_000)
        held = []
        try:
            for port in range(first, first + count):
                for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                    held.append(socket.socket(socket.AF_INET, kind))
                    held[-1].bind((host, port))
            return first
        except OSError:
            continue
        finally:
            for each in held:
                each.close()
    raise CannotRun('no free port')


def play(case, folder):
    """Run a case and exit with 1 if the rule broke, 0 if not, 2 if unable."""

    async def run():
        lab = Lab(folder, os.getpid())
        try:
            await lab.open()
            return await case(lab, os.environ.get('TROUBLE', '1') != '0')
        finally:
            await lab.close()

    try:
        broken = asyncio.run(asyncio.wait_for(run(), 115))
    except (CannotRun, TimeoutError, OSError) as fault:
        print('could not run:', repr(fault))
        sys.exit(2)
    sys.exit(1 if broken else 0)
