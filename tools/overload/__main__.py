"""Plays bursts of several sizes and prints how their queries ended.

python -m tools.overload
"""

import sys
from operator import attrgetter
from typing import Final

from .fleet import Replay
from .load import Burst

_TIMES: Final = (1, 2, 3, 5)
_COLUMNS: Final = ('asked', 'in_time', 'returned', 'late', 'refused', 'failed')


def main() -> None:
    """Print a row for each size."""
    sys.stdout.write('times {0}\n'.format(' '.join(_COLUMNS)))
    for times in _TIMES:
        row = _row(Burst(times=times))
        sys.stdout.write('{0} {1}\n'.format(times, row))


def _row(burst: Burst) -> str:
    outcomes = Replay(burst, seed=1).run()
    counts = attrgetter(*_COLUMNS)(outcomes)
    totals = [outcomes.total(each, burst) for each in counts]
    return ' '.join(map(str, totals))


if __name__ == '__main__':
    main()
