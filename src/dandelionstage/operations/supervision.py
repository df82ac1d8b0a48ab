"""Background tasks that outlive unexpected errors."""

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any, Final

from .events import EventLog

__all__ = ('start_supervised',)

#: Starts a run that lasts until it is cancelled.
Run = Callable[[], Coroutine[Any, Any, None]]

#: Keeps a task that fails at once from taking the whole core.
_RESTART_DELAY_S: Final = 0.5


def start_supervised(name: str, run: Run, log: EventLog) -> asyncio.Task[None]:
    """Start a task that is run again after an unexpected error.

    :param name: name of the task in the log.
    """
    loop = asyncio.get_running_loop()
    return loop.create_task(_supervise(name, run, log), name=name)


async def _supervise(name: str, run: Run, log: EventLog) -> None:
    while True:
        try:
            await run()
        except Exception as error:
            log.event('task_failed', task=name, fault=repr(error))
        await asyncio.sleep(_RESTART_DELAY_S)
