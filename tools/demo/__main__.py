"""Runs the demo: exit code 0, or 1 with the reason if anything failed."""

import sys
import time

from tools.fleet import Fleet, FleetError

from .command import DemoError
from .steps import STEPS, demo_fleet


def _show(fleet: Fleet) -> None:
    for number, step in enumerate(STEPS, start=1):
        title = step.__doc__ or step.__name__
        sys.stdout.write('\n{0}. {1}\n'.format(number, title))
        step(fleet)


def main() -> int:
    """Run every step in order on a fleet of its own."""
    started_s = time.monotonic()
    sys.stdout.write('starting a small bg-south on loopback\n')
    try:
        with demo_fleet() as fleet:
            _show(fleet)
    except (DemoError, FleetError) as error:
        sys.stderr.write('\nthe demo failed: {0}\n'.format(error))
        return 1
    elapsed_s = time.monotonic() - started_s
    sys.stdout.write('\nall of it held, {0:.0f} s\n'.format(elapsed_s))
    return 0


if __name__ == '__main__':
    sys.exit(main())
