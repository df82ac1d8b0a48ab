"""Processor time of the gateway for each sub-request, and of a bare scatter.

The gateway serves queries over a stand-in of the platform; the bare scatter
sends the same sub-requests with the same connections and parser, and decides
nothing.  Each is a process of its own, as the backend servers and callers
share this one.

    python -m tools.bench.gateway_cost
"""

import asyncio
import json
import subprocess
import sys
import tempfile
from pathlib import Path
from types import MappingProxyType
from typing import Final

import psutil
import uvloop

from tools.standins.platform.place import FRONT_PORT, Platform

from .bare_links import QUERIES, WARM_UP, Ask, caller, offer

__all__ = ('main',)

_SHARD_COUNT: Final = 20
_SHARDS: Final = tuple('s{0}'.format(each) for each in range(_SHARD_COUNT))
_ROUTE: Final = MappingProxyType(
    {
        'name': 'q',
        'host': 'h.example',
        'prefix': '/q/',
        'routeType': 'safe',
        'timeoutMs': 1500,
        'targetLatencyMs': 500,
        'gather': _SHARDS,
        'attempts': 2,
        'topK': 10,
        'minCoverage': 0.9,
    },
)
_SEED: Final = 5
_US_PER_S: Final = 1_000_000
#: Microseconds of each sub-request in a second of all.
_US_EACH: Final = _US_PER_S / (QUERIES * _SHARD_COUNT)
#: Until the gateway listens and knows the servers.
_START_S: Final = 2
_SHOWN: Final = (
    'gateway {0:.0f} us a sub-request, callers included; '
    'bare scatter {1:.0f} us; ratio {2:.2f}\n'
)


async def _gateway_s(platform: Platform, host: str) -> float:
    path = platform.write_settings(0)
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        '-m',
        'dandelionstage.platform.main',
        env={'DANDELIONSTAGE_BOOT': str(path), 'PYTHONPATH': 'src'},
        stdout=subprocess.DEVNULL,
    )
    await asyncio.sleep(_START_S)
    try:
        return await _served_s(process.pid, await caller(host, FRONT_PORT))
    finally:
        process.kill()


async def _served_s(pid: int, ask: Ask) -> float:
    for number in range(WARM_UP):
        await ask('w{0}'.format(number))
    before_s = _processor_s(pid)
    await offer(ask)
    return _processor_s(pid) - before_s


def _processor_s(pid: int) -> float:
    times = psutil.Process(pid).cpu_times()
    return float(times.user + times.system)


async def _bare_s(platform: Platform) -> float:
    bare = await asyncio.create_subprocess_exec(
        sys.executable,
        '-m',
        'tools.bench.bare_links',
        json.dumps(_addresses(platform)),
        stdout=subprocess.PIPE,
    )
    printed, _errors = await bare.communicate()
    return float(printed)


def _addresses(platform: Platform) -> dict[str, str]:
    return {name: each.address for name, each in platform.servers.items()}


async def _measure(folder: Path) -> tuple[float, float]:
    async with Platform(_SEED, folder) as platform:
        host = platform.plan_hosts(1)[0]
        for shard in _SHARDS:
            await platform.add_server(shard)
        platform.publish(1, [_ROUTE])
        gateway_s = await _gateway_s(platform, host)
        return gateway_s, await _bare_s(platform)


def main() -> None:
    """Print the cost of a sub-request in both, and their ratio."""
    with tempfile.TemporaryDirectory() as folder:
        gateway_s, bare_s = uvloop.run(_measure(Path(folder)))
    sys.stdout.write(
        _SHOWN.format(
            gateway_s * _US_EACH, bare_s * _US_EACH, gateway_s / bare_s
        )
    )


if __name__ == '__main__':
    main()
