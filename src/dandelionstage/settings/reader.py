"""Reads and validates a settings file."""

from collections.abc import Mapping
from pathlib import Path
from typing import Any, Final

import yaml
from pydantic import ValidationError
from returns.result import Failure, Result, Success

from .faults import SettingsFault, SettingsFaults, describe_error, shorten
from .model import Settings
from .yaml_loader import UniqueKeyLoader

__all__ = ('SettingsFault', 'SettingsFaults', 'read_settings')

#: Path of a fault that concerns the file and not one of its keys.
_WHOLE_FILE: Final = '(file)'


def read_settings(path: Path) -> Result[Settings, SettingsFaults]:
    """Read the settings of one daemon from a YAML file.

    :returns: the settings, or all faults of the file.
    """
    try:
        raw = yaml.load(path.read_bytes(), Loader=UniqueKeyLoader)
    except OSError as error:
        return _file_failure(str(path), 'must be a readable file', error)
    except (yaml.YAMLError, ValueError, TypeError) as error:
        # PyYAML does not wrap all exceptions of the conversion of values: the
        # date 2024-13-01, for instance, raises ValueError.
        return _file_failure(str(path), 'must be valid YAML', error)
    if not isinstance(raw, dict):
        return _file_failure(shorten(raw), 'must be a mapping of settings')
    return _validate(raw)


def _validate(raw: Mapping[str, Any]) -> Result[Settings, SettingsFaults]:
    try:
        return Success(Settings.model_validate(raw))
    except ValidationError as failure:
        errors = failure.errors(include_url=False)
    return Failure(tuple(describe_error(error) for error in errors))


def _file_failure(
    found: str,
    allowed: str,
    error: Exception | None = None,
) -> Result[Settings, SettingsFaults]:
    if error is not None:
        allowed = '{0} ({1})'.format(allowed, shorten(error))
    return Failure((SettingsFault(_WHOLE_FILE, found, allowed),))
