"""Write one log record as one line."""

import json
from traceback import format_exception
from typing import TYPE_CHECKING, Any, Final

from .redaction import redact, redact_fields

if TYPE_CHECKING:
    from loguru import Record

__all__ = ('json_line', 'text_line')

_TIME_FORMAT: Final = '%H:%M:%S.%f'
_TEXT_FORMAT: Final = '{0} {1:<7} {2}'


def json_line(record: 'Record') -> str:
    """Write a record as one JSON object, without keys."""
    line = {
        'time': record['time'].isoformat(),
        'level': record['level'].name.lower(),
        'module': record['name'],
        'message': redact(record['message']),
        **_fields(record),
    }
    return json.dumps(line, ensure_ascii=False)


def text_line(record: 'Record') -> str:
    """Write a record for a person at a terminal, without keys."""
    line = _TEXT_FORMAT.format(
        record['time'].strftime(_TIME_FORMAT),
        record['level'].name.lower(),
        redact(record['message']),
    )
    fields = _fields(record)
    return ' '.join((line, *map('{0[0]}={0[1]}'.format, fields.items())))


def _fields(record: 'Record') -> dict[str, Any]:
    fields = redact_fields(record['extra'])
    error = record['exception']
    if error is not None:
        lines = format_exception(error.type, error.value, error.traceback)
        fields['exception'] = redact(''.join(lines))
    return fields
