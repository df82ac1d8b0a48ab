"""Measures what control costs a VM, and how fast a change reaches all.

The decisions of whole fleets run on virtual time; bytes count both
directions and the headers of IP, UDP and TCP.
"""

import json
import sys
import time
from collections.abc import Iterator
from dataclasses import asdict
from pathlib import Path
from typing import Annotated, Final

import typer

from dandelionstage.model.ids import DocumentKey
from tools.control_table import ControlCost, show_table
from tools.virtual.documents import contract_json
from tools.virtual.fleet import VirtualFleet
from tools.virtual.window import Window

__all__ = ('measure',)

_DATA_CENTRES: Final = 4
_SETTLE_MS: Final = 12_000
_WINDOW_MS: Final = 10_000
_CHANGES: Final = 5
#: Two changes for each of 17,000 restarts a day come to one per 2500 ms.
_CHANGE_EVERY_MS: Final = 2500
_LIMIT_MS: Final = 10_000
_KEY: Final = DocumentKey('contract/finders')
_DEFAULT_SIZES: Final = (4, 8, 16, 32, 128, 512, 2048)

_Sizes = Annotated[list[int] | None, typer.Option('--size')]
_Json = Annotated[Path | None, typer.Option('--json')]


def measure(size: int, seed: int = 0) -> ControlCost:
    """Run one size of fleet, idle and with changes."""
    fleet = _start(size, seed)
    idle = Window(fleet)
    fleet.network.run(_WINDOW_MS)
    idle.close()
    busy = Window(fleet)
    reaches = tuple(_change(fleet))
    busy.close()
    return ControlCost(
        vms=size,
        idle_bytes_per_s=idle.bytes_per_s,
        busy_bytes_per_s=busy.bytes_per_s,
        idle_reads_per_s=idle.reads_per_s,
        busy_reads_per_s=busy.reads_per_s,
        mean_reach_ms=sum(reaches) / len(reaches),
        longest_reach_ms=max(reaches),
    )


def _start(size: int, seed: int) -> VirtualFleet:
    share = max(1, size // _DATA_CENTRES)
    names = ('dc-{0}'.format(number) for number in range(_DATA_CENTRES))
    fleet = VirtualFleet(dict.fromkeys(names, share), seed)
    fleet.start()
    fleet.network.run(_SETTLE_MS)
    return fleet


def _change(fleet: VirtualFleet) -> Iterator[float]:
    for number in range(_CHANGES):
        end_ms = fleet.network.now_ms + _CHANGE_EVERY_MS
        body = contract_json('finders', 100 + number)
        revision = fleet.service.write(_KEY, body)
        yield fleet.run_until_held(_KEY, revision, _LIMIT_MS)
        fleet.network.run(max(0, end_ms - fleet.network.now_ms))


def main(size: _Sizes = None, json_file: _Json = None) -> None:
    """Measure each size and print a table with slopes per doubling."""
    costs = []
    for vms in size or _DEFAULT_SIZES:
        start_s = time.monotonic()
        costs.append(measure(vms))
        took_s = time.monotonic() - start_s
        sys.stderr.write('{0} VMs in {1:.0f} s\n'.format(vms, took_s))
    sys.stdout.write('{0}\n'.format(show_table(costs)))
    if json_file is not None:
        json_file.write_text(json.dumps([asdict(cost) for cost in costs]))


if __name__ == '__main__':
    typer.run(main)
