"""Joins log lines of many VMs into one timeline."""

import json
import sys
from collections.abc import Iterable, Sequence
from pathlib import Path
from typing import Any, Final

__all__ = ('Line', 'lines_about', 'read_lines', 'say')

#: One log line as decoded.
Line = dict[str, Any]

_STDIN: Final = '-'
_AT: Final = 'at_ms'
#: Changes of belief so long before a request may be its cause.
_BEFORE_MS: Final = 10_000
#: Events that change what a VM believes; all others concern one request.
_BELIEFS: Final = frozenset(
    (
        'catalog_pulled',
        'catalog_read',
        'entry_unreadable',
        'outage_ended',
        'peer_found',
        'process_paused',
        'pull_failed',
        'readers_behind',
        'reads_store',
        'reads_store_no_more',
        'routes_in_force',
        'server_gone',
        'server_listed',
        'server_slow',
        'server_usual',
        'settings_refused',
        'settings_reloaded',
        'started',
        'stop_asked',
        'stop_cut',
        'stop_step',
        'store_history_gone',
        'store_lost',
        'store_regained',
        'watch_in_doubt',
        'watch_overdue',
    ),
)
_EVENT: Final = 'event'
_VM: Final = 'vm'
_REQUEST: Final = 'request'
_HIDDEN: Final = frozenset((_AT, _EVENT, _VM, _REQUEST))


def read_lines(path: Path) -> tuple[list[Line], list[str]]:
    """Read a log file; lines that are no JSON objects are faults."""
    try:
        text = _read(path)
    except OSError as error:
        return [], ['{0}: {1}'.format(path, error.strerror)]
    decoded = [_decode(raw) for raw in text.splitlines()]
    faults = [
        '{0}:{1}: no log line'.format(path, number)
        for number, line in enumerate(decoded, start=1)
        if line is None
    ]
    return [line for line in decoded if line is not None], faults


def lines_about(request: str, lines: Iterable[Line]) -> list[Line]:
    """Choose the lines that explain a request, in order of time."""
    every = sorted(lines, key=_time)
    named = [line for line in every if line.get(_REQUEST) == request]
    if not named:
        return []
    learned = [line for line in every if _is_learned(line, named)]
    return sorted((*learned, *named), key=_time)


def say(line: Line) -> str:
    """Write a line for a person."""
    told = ' '.join(
        '{0}={1}'.format(name, field)
        for name, field in line.items()
        if name not in _HIDDEN
    )
    mark = '*' if _REQUEST in line else ' '
    return '{0} {1} {2} {3} {4}'.format(
        mark, line[_AT], line.get(_VM, '-'), line[_EVENT], told
    ).rstrip()


def _is_learned(line: Line, named: Sequence[Line]) -> bool:
    """Whether a VM of a request changed its belief just before its end."""
    since = _time(named[0]) - _BEFORE_MS
    is_near = since <= _time(line) <= _time(named[-1])
    vms = [each.get(_VM) for each in named]
    return is_near and line[_EVENT] in _BELIEFS and line.get(_VM) in vms


def _read(path: Path) -> str:
    return sys.stdin.read() if str(path) == _STDIN else path.read_text()


def _decode(raw: str) -> Line | None:
    try:
        line = json.loads(raw)
    except ValueError:
        return None
    is_line = isinstance(line, dict) and _EVENT in line
    return line if is_line and isinstance(line.get(_AT), int) else None


def _time(line: Line) -> int:
    return int(line[_AT])
