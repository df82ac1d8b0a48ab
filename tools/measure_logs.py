"""Processor time of one log line, written and withheld.

python -m tools.measure_logs
"""

import os
import sys
import time
from typing import Final

from dandelionstage.operations.events import EventLog, open_output

__all__ = ('main',)

_LINES: Final = 20_000
_US_PER_S: Final = 1_000_000
#: One line a window is always written, thousands never are.
_WRITTEN_EVERY_MS: Final = 1001


def _line_us(step_ms: float) -> float:
    """Return the mean time of a line when so much time lies between two."""
    now_ms = 0.0  # noqa: WPS358 -- a time
    sink = os.open(os.devnull, os.O_WRONLY)
    log = EventLog(open_output(sink), lambda: now_ms, vm='front-a-1')
    before_s = time.process_time()
    for _ in range(_LINES):
        now_ms += step_ms
        log.event(
            'hedge',
            request='9c41d07be2a35f68',
            route='r-7ubj6s4',
            service='huvo11a',
            budget_left=_LINES,
        )
    used_s = time.process_time() - before_s
    os.close(sink)
    return used_s * _US_PER_S / _LINES


def main() -> None:
    """Print both."""
    sys.stdout.write(
        'written {0:.1f} us a line, withheld {1:.1f} us\n'.format(
            _line_us(_WRITTEN_EVERY_MS), _line_us(0)
        )
    )


if __name__ == '__main__':
    main()
