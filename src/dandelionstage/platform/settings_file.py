"""Reads the settings file and follows its changes."""

import asyncio
import os
from collections.abc import Callable
from typing import Final, final

import msgspec

from ..operations.events import EventLog
from .settings import BootSettings

__all__ = ('SettingsError', 'SettingsFile')

#: How often the file is looked at; it may change without a signal.
_LOOK_S: Final = 2.0


class SettingsError(Exception):
    """The settings file cannot be used; the message names the field."""


@final
class SettingsFile:
    """Keeps the last good settings of a file.

    :ivar settings: as last read.
    """

    def __init__(self, path: str) -> None:
        """Read and check the file.

        :raises SettingsError: when it cannot be read or a field is at fault.
        """
        self._path = path
        self._changed_ns = 0
        self.settings = self._read()

    def reload(
        self, log: EventLog, on_change: Callable[[BootSettings], None]
    ) -> None:
        """Read again; keep the old settings if the new are at fault."""
        try:
            settings = self._read()
        except SettingsError as fault:
            log.event('settings_refused', fault=str(fault))
            return
        if settings != self.settings:
            self.settings = settings
            log.event('settings_reloaded')
            on_change(settings)

    async def follow(
        self, log: EventLog, on_change: Callable[[BootSettings], None]
    ) -> None:
        """Reload whenever the file has changed, until cancelled."""
        while True:
            await asyncio.sleep(_LOOK_S)
            if self._changed_ns != self._last_change_ns():
                self.reload(log, on_change)

    def _last_change_ns(self) -> int:
        try:
            return os.stat(self._path).st_mtime_ns
        except OSError:
            # A file that is gone is noticed by reading it.
            return 0

    def _read(self) -> BootSettings:
        self._changed_ns = self._last_change_ns()
        try:
            with open(self._path, 'rb') as settings_file:
                text = settings_file.read()
        except OSError as error:
            raise SettingsError(
                '{0}: {1}'.format(self._path, error.strerror)
            ) from error
        try:
            return msgspec.json.decode(text, type=BootSettings)
        except msgspec.MsgspecError as fault:
            raise SettingsError('{0}: {1}'.format(self._path, fault)) from fault
