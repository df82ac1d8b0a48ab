"""Reads the settings file and reloads it when it changes."""

import asyncio
import os
from collections.abc import Callable
from typing import Final, final

import msgspec

from ..model.decoding import decode_nested
from ..operations.events import EventLog
from .settings import BootSettings

__all__ = ('SettingsError', 'SettingsFile')

#: The file may change without a signal, so it is checked this often.
_CHECK_INTERVAL_S: Final = 2.0
_decode_settings: Final = msgspec.json.Decoder(BootSettings).decode


class SettingsError(Exception):
    """The settings file is unreadable or invalid; the message says why."""


@final
class SettingsFile:
    """Holds the last valid settings read from a file.

    :ivar settings: the settings in force.
    """

    def __init__(self, path: str) -> None:
        """Read and validate the file.

        :raises SettingsError: if it cannot be read or a field is invalid.
        """
        self._path = path
        self._modified_ns = 0
        self.settings = self._read()

    def reload(
        self, log: EventLog, on_change: Callable[[BootSettings], None]
    ) -> None:
        """Read the file again; keep the old settings if it is invalid."""
        try:
            settings = self._read()
        except SettingsError as fault:
            log.event('settings_refused', fault=str(fault))
            return
        if settings != self.settings:
            self.settings = settings
            log.event('settings_reloaded')
            on_change(settings)

    async def reload_on_change(
        self, log: EventLog, on_change: Callable[[BootSettings], None]
    ) -> None:
        """Reload the file each time it changes, until cancelled."""
        while True:
            await asyncio.sleep(_CHECK_INTERVAL_S)
            if self._modified_ns != self._get_modified_ns():
                self.reload(log, on_change)

    def _get_modified_ns(self) -> int:
        try:
            return os.stat(self._path).st_mtime_ns
        except OSError:
            # A missing file is reported by the read that follows.
            return 0

    def _read(self) -> BootSettings:
        self._modified_ns = self._get_modified_ns()
        try:
            with open(self._path, 'rb') as settings_file:
                text = settings_file.read()
        except OSError as error:
            raise SettingsError(
                '{0}: {1}'.format(self._path, error.strerror)
            ) from error
        try:
            return decode_nested(_decode_settings, text)
        except msgspec.MsgspecError as fault:
            raise SettingsError('{0}: {1}'.format(self._path, fault)) from fault
