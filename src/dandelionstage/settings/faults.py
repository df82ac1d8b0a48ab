"""Say where a settings file is at fault, and what is allowed there."""

from dataclasses import dataclass
from typing import Final, final

from pydantic import BaseModel
from pydantic_core import ErrorDetails

from .model import Settings

__all__ = ('SettingsFault', 'SettingsFaults', 'describe', 'shorten')

_MAX_VALUE_LENGTH: Final = 60
_MISSING: Final = '(missing)'


@final
@dataclass(frozen=True, slots=True)
class SettingsFault:
    """One fault of a settings file.

    :ivar path: where in the file, dotted.
    :ivar found: the value there, shortened.
    :ivar allowed: what is allowed there.
    """

    path: str
    found: str
    allowed: str

    def __str__(self) -> str:
        """Show the fault on one line."""
        return '{0}: found {1}; {2}'.format(
            self.path,
            self.found,
            self.allowed,
        )


SettingsFaults = tuple[SettingsFault, ...]


def describe(fault: ErrorDetails) -> SettingsFault:
    """Put a fault found by the validator into words."""
    steps = fault['loc']
    path = '.'.join(str(step) for step in steps)
    if fault['type'] == 'missing':
        return SettingsFault(path, _MISSING, 'a value is required')
    if fault['type'] == 'extra_forbidden':
        known = ', '.join(_known_keys(steps[:-1]))
        allowed = 'unknown key, allowed here: {0}'.format(known)
        return SettingsFault(path, shorten(fault['input']), allowed)
    allowed = fault['msg'].removeprefix('Value error, ')
    return SettingsFault(path, shorten(fault['input']), allowed)


def _known_keys(steps: tuple[int | str, ...]) -> tuple[str, ...]:
    model: type[BaseModel] = Settings
    for step in steps:
        if isinstance(step, str):
            model = _section_of(model, step)
    return tuple(model.model_fields)


def _section_of(model: type[BaseModel], field: str) -> type[BaseModel]:
    annotation = model.model_fields[field].annotation
    candidates = (annotation, *getattr(annotation, '__args__', ()))
    return next(
        candidate
        for candidate in candidates
        if isinstance(candidate, type) and issubclass(candidate, BaseModel)
    )


def shorten(found: object) -> str:
    """Show a value on one line of bounded length."""
    text = str(found) if isinstance(found, Exception) else repr(found)
    text = ' '.join(text.split())
    if len(text) <= _MAX_VALUE_LENGTH:
        return text
    return '{0}...'.format(text[:_MAX_VALUE_LENGTH])
