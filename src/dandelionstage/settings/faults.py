"""Describes the faults of a settings file."""

from dataclasses import dataclass
from typing import Final, final

from pydantic import BaseModel
from pydantic_core import ErrorDetails

from .model import Settings

__all__ = ('SettingsFault', 'SettingsFaults', 'describe_error', 'shorten')

#: Maximum length of a value in a fault, in characters, without the ellipsis.
_MAX_VALUE_LENGTH: Final = 60
_MISSING: Final = '(missing)'


@final
@dataclass(frozen=True, slots=True)
class SettingsFault:
    """One fault of a settings file.

    :ivar path: location in the file, with dots between the keys.
    :ivar found: the value found, shortened.
    :ivar allowed: the requirement that is not met, or the keys that are
        allowed.
    """

    path: str
    found: str
    allowed: str

    def __str__(self) -> str:
        """Return the fault as one line of text."""
        return '{0}: found {1}; {2}'.format(
            self.path,
            self.found,
            self.allowed,
        )


SettingsFaults = tuple[SettingsFault, ...]


def describe_error(error: ErrorDetails) -> SettingsFault:
    """Convert a validation error of pydantic to a fault."""
    location = error['loc']
    path = '.'.join(str(key) for key in location)
    if error['type'] == 'missing':
        return SettingsFault(path, _MISSING, 'a value is required')
    if error['type'] == 'extra_forbidden':
        known = ', '.join(_known_keys(location[:-1]))
        allowed = 'unknown key, allowed here: {0}'.format(known)
        return SettingsFault(path, shorten(error['input']), allowed)
    allowed = error['msg'].removeprefix('Value error, ')
    return SettingsFault(path, shorten(error['input']), allowed)


def _known_keys(location: tuple[int | str, ...]) -> tuple[str, ...]:
    """Return the keys that are allowed in the section at a location.

    Integers in the location are indexes of a list and do not change the model.
    """
    model: type[BaseModel] = Settings
    for key in location:
        if isinstance(key, str):
            model = _section_model(model, key)
    return tuple(model.model_fields)


def _section_model(model: type[BaseModel], field: str) -> type[BaseModel]:
    """Return the model of a field, or of the items if it is a tuple."""
    annotation = model.model_fields[field].annotation
    candidates = (annotation, *getattr(annotation, '__args__', ()))
    return next(
        candidate
        for candidate in candidates
        if isinstance(candidate, type) and issubclass(candidate, BaseModel)
    )


def shorten(value: object) -> str:
    """Return a value as one line of text, cut at 60 characters."""
    text = str(value) if isinstance(value, Exception) else repr(value)
    text = ' '.join(text.split())
    if len(text) <= _MAX_VALUE_LENGTH:
        return text
    return '{0}...'.format(text[:_MAX_VALUE_LENGTH])
