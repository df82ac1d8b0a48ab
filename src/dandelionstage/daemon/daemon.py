"""Runs a daemon from its start to the end of a planned stop."""

import signal
from typing import Final

import anyio
from anyio.abc import TaskGroup

from ..operations.admin import Readiness, admin_app
from ..settings.model import Settings
from .caller_interface import build_caller_app
from .listeners import listen_http, listen_inner
from .node import Node
from .status_page import admin_sources

__all__ = ('run_daemon',)

_MS_PER_S: Final = 1000
_OPERATOR_GRACE_S: Final = 1


async def run_daemon(settings: Settings) -> None:
    """Serve until told to stop, then finish what is in flight."""
    stopped = anyio.Event()
    async with anyio.create_task_group() as group:
        node = Node(settings, group)
        async with node.peers:
            group.start_soon(_watch_signals, stopped)
            _start_inner(node, settings, group)
            await _listen(node, settings, stopped)
        group.cancel_scope.cancel()


def _start_inner(node: Node, settings: Settings, group: TaskGroup) -> None:
    group.start_soon(
        listen_inner,
        node.peers.accept,
        str(settings.host),
        settings.inner_port,
    )
    group.start_soon(node.owner.run)


async def _listen(
    node: Node,
    settings: Settings,
    stopped: anyio.Event,
) -> None:
    """Serve callers until the stop, and operators until that is done."""
    sources = admin_sources(
        node,
        lambda: 'stopping' if stopped.is_set() else 'serving',
        lambda: _readiness(node, stopped),
    )
    callers = build_caller_app(node, settings, lambda: not stopped.is_set())
    host = str(settings.host)
    finished = anyio.Event()
    async with anyio.create_task_group() as operators:
        operators.start_soon(
            listen_http,
            admin_app(sources),
            host,
            settings.operator_port,
            finished,
            _OPERATOR_GRACE_S,
        )
        await listen_http(
            callers,
            host,
            settings.caller_port,
            stopped,
            settings.bounds.stop_ms / _MS_PER_S,
        )
        finished.set()


def _readiness(node: Node, stopped: anyio.Event) -> Readiness:
    if stopped.is_set():
        return Readiness(ready=False, detail='stopping')
    if not node.facts.topology().contracts:
        return Readiness(ready=False, detail='no configuration yet')
    return Readiness(ready=True)


async def _watch_signals(stopped: anyio.Event) -> None:
    with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async for _ in signals:
            stopped.set()
