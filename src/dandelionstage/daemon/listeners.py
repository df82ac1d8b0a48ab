"""The ports of a daemon: HTTP for callers and operators, TCP for peers."""

from collections.abc import Awaitable, Callable
from functools import partial
from typing import Any, Final, cast

import anyio
from anyio.abc import SocketStream
from hypercorn.asyncio import serve
from hypercorn.config import Config
from starlette.types import ASGIApp

__all__ = ('listen_http', 'listen_inner')

_BACKLOG: Final = 1024
#: An idle caller's connection is closed after this long.
_KEEP_ALIVE_S: Final = 75
#: A caller may take this long to send its request head and body.
_READ_TIMEOUT_S: Final = 30


async def listen_http(
    app: ASGIApp,
    address: tuple[str, int],
    stopped: anyio.Event,
    grace_s: float,
) -> None:
    """Serve an application until the event, then finish what is in flight.

    :param grace_s: a request that takes longer after the event is cut.
    """
    config = Config()
    config.bind = ['{0}:{1}'.format(*address)]
    config.backlog = _BACKLOG
    config.graceful_timeout = grace_s
    config.shutdown_timeout = grace_s
    config.keep_alive_timeout = _KEEP_ALIVE_S
    config.read_timeout = _READ_TIMEOUT_S
    config.accesslog = None
    config.errorlog = None
    # Callers name the VM by its address, so no server header is needed.
    config.include_server_header = False
    run = partial(
        serve,
        cast(Any, app),
        config,
        shutdown_trigger=stopped.wait,
    )
    # The server cancels the task that it runs in when it ends.
    async with anyio.create_task_group() as group:
        group.start_soon(run)


async def listen_inner(
    accept: Callable[[SocketStream], Awaitable[None]],
    host: str,
    port: int,
) -> None:
    """Accept connections of other daemons until cancelled."""
    listener = await anyio.create_tcp_listener(
        local_host=host,
        local_port=port,
        backlog=_BACKLOG,
        reuse_port=False,
    )
    async with listener:
        await listener.serve(accept)
