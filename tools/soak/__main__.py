"""Runs the soak for some seeds; exits with 1 if a promise was broken.

python -m tools.soak --seeds 1-50 --seconds 20 --vms 4
"""

import argparse
import asyncio
import sys
import tempfile
from pathlib import Path
from typing import Final

from .run import Plan, soak

__all__ = ('main',)

#: Long enough for about thirty faults.
_SECONDS: Final = 20.0
_VMS: Final = 4


def main() -> None:
    """Play each seed and print what was broken."""
    parser = argparse.ArgumentParser(prog='python -m tools.soak')
    parser.add_argument('--seeds', default='1', help='one, or A-B')
    parser.add_argument('--seconds', type=float, default=_SECONDS)
    parser.add_argument('--vms', type=int, default=_VMS)
    parser.add_argument('--keep', type=Path, help='folder for the logs')
    options = parser.parse_args()
    with tempfile.TemporaryDirectory() as scratch:
        folder = options.keep or Path(scratch)
        failed = [
            seed
            for seed in _seeds(options.seeds)
            if _is_broken(Plan(seed, options.seconds, options.vms), folder)
        ]
    sys.exit(bool(failed))


def _seeds(named: str) -> range:
    first, _, last = named.partition('-')
    return range(int(first), int(last or first) + 1)


def _is_broken(plan: Plan, folder: Path) -> bool:
    own = folder / 'seed-{0}'.format(plan.seed)
    own.mkdir(parents=True, exist_ok=True)
    report = asyncio.run(soak(plan, own))
    sys.stdout.write('{0}\n'.format(report))
    return bool(report.broken)


if __name__ == '__main__':
    main()
