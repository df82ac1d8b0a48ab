"""Keep customer keys out of the logs."""

import re
from typing import Any, Final

__all__ = ('redact', 'redact_fields')

_HIDDEN: Final = '[hidden]'
_BEARER: Final = re.compile(r'(?i)(bearer\s+)[^\s"\',}]+')
_SECRET_FIELDS: Final = ('api_key', 'authorization', 'customer_key', 'secret')
_NAMED: Final = re.compile(
    r'(?i)(\b(?:{0})["\']?\s*[=:]\s*["\']?)(?!bearer)[^\s"\',}}]+'.format(
        '|'.join(_SECRET_FIELDS),
    ),
)


def redact(text: str) -> str:
    """Hide whatever looks like a customer's key in a text."""
    for pattern in (_BEARER, _NAMED):
        text = pattern.sub(r'\g<1>{0}'.format(_HIDDEN), text)
    return text


def redact_fields(fields: dict[str, Any]) -> dict[str, Any]:
    """Hide the values of fields that hold keys, and keys in the others."""
    return {
        name: _redact_field(name, content) for name, content in fields.items()
    }


def _redact_field(name: str, content: Any) -> Any:
    if name.lower() in _SECRET_FIELDS:
        return _HIDDEN
    if isinstance(content, int | float | None):
        return content
    return redact(str(content))
