"""Starts the daemon of one entry VM."""

import gc
import sys
from collections.abc import Sequence
from typing import Final

import anyio
from loguru import logger

from ..operations.logs import configure_logs
from ..settings.model import LogFormat, Settings
from ..settings.options import settings_from_arguments
from .daemon import run_daemon

__all__ = ('main',)

#: Objects made before young ones are looked at for cycles.
_YOUNG_OBJECTS: Final = 50_000


def main(arguments: Sequence[str] | None = None) -> None:
    """Read the settings, then serve until told to stop."""
    given = sys.argv[1:] if arguments is None else arguments
    settings = settings_from_arguments(given)
    _start_logs(settings)
    _spare_collections()
    logger.bind(
        host=settings.host,
        caller_port=settings.caller_port,
        inner_port=settings.inner_port,
        operator_port=settings.operator_port,
    ).info('daemon starts')
    anyio.run(run_daemon, settings, backend_options={'use_uvloop': True})
    logger.info('daemon stopped')


def _spare_collections() -> None:
    """Collect cycles seldom, and never look at what was made at start.

    Requests leave few cycles; most of what a collection would go through
    are modules and schemas, while requests wait.
    """
    gc.collect()
    gc.freeze()
    gc.set_threshold(_YOUNG_OBJECTS)


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
