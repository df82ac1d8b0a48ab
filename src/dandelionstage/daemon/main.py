"""Starts the daemon of one entry VM."""

import sys
from collections.abc import Sequence

import anyio
from loguru import logger

from ..operations.logs import configure_logs
from ..settings.model import LogFormat, Settings
from ..settings.options import settings_from_arguments
from .daemon import run_daemon

__all__ = ('main',)


def main(arguments: Sequence[str] | None = None) -> None:
    """Read the settings, then serve until told to stop."""
    given = sys.argv[1:] if arguments is None else arguments
    settings = settings_from_arguments(given)
    _start_logs(settings)
    logger.bind(
        host=settings.host,
        caller_port=settings.caller_port,
        inner_port=settings.inner_port,
        operator_port=settings.operator_port,
    ).info('daemon starts')
    anyio.run(run_daemon, settings, backend_options={'use_uvloop': True})
    logger.info('daemon stopped')


def _start_logs(settings: Settings) -> None:
    forms = {LogFormat.JSON: True, LogFormat.TEXT: False}
    configure_logs(
        settings.log.level.value,
        as_json=forms.get(settings.log.format),
        vm=settings.vm,
        data_centre=settings.data_centre,
    )


if __name__ == '__main__':
    main()
