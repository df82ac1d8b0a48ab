"""Runs a daemon from its start to the end of a planned stop."""

from typing import Final, final

import anyio
from anyio.abc import TaskGroup

from ..lifecycle.stop_sequence import StopLimits, StopState
from ..operations.admin import Readiness, admin_app
from ..settings.model import Settings
from .caller_interface import CallerServices
from .callers import InFlight
from .control import Control, service_url
from .listeners import listen_http, listen_inner
from .node import Node
from .service_client import ServiceClient
from .status_page import admin_sources
from .stop_service import StopService

__all__ = ('run_daemon',)

#: The stop sequence has waited by then; this only ends idle connections.
_GRACE_S: Final = 1


async def run_daemon(settings: Settings) -> None:
    """Serve until told to stop, then finish what is in flight."""
    client = ServiceClient(service_url(settings))
    # The tasks use the client until they have ended, so it is closed last.
    async with client, anyio.create_task_group() as group:
        node = Node(settings, group)
        async with node.peers:
            daemon = _Daemon(node, settings, group, client)
            daemon.start(group)
            await daemon.listen()
        group.cancel_scope.cancel()


@final
class _Daemon:
    """The services of one daemon and the ports they are reached by."""

    def __init__(
        self,
        node: Node,
        settings: Settings,
        group: TaskGroup,
        client: ServiceClient,
    ) -> None:
        self._node = node
        self._settings = settings
        self._control = Control(node, settings, client)
        services = CallerServices(node, settings, group)
        self._callers = InFlight(
            services.app(lambda: self._stop.accepts_new),
            lambda: self._stop.state is StopState.SERVING,
            settings.bounds.max_caller_requests,
        )
        self._stop = StopService(
            node,
            StopLimits(draining_ms=settings.bounds.stop_ms),
            lambda: self._callers.count + node.owner.owner.pending(),
            services.minting.open_tickets,
        )
        node.accepts_new = lambda: self._stop.accepts_new

    def start(self, group: TaskGroup) -> None:
        """Run everything but the HTTP ports."""
        group.start_soon(self._stop.run)
        group.start_soon(self._node.owner.run)
        group.start_soon(self._node.aging.run)
        group.start_soon(
            listen_inner,
            self._node.peers.accept,
            str(self._settings.host),
            self._settings.inner_port,
        )
        self._control.start(group)

    async def listen(self) -> None:
        """Serve callers until the stop, and operators until that is done."""
        host = str(self._settings.host)
        finished = anyio.Event()
        sources = admin_sources(
            self._node,
            lambda: self._stop.state.value,
            self._readiness,
        )
        async with anyio.create_task_group() as operators:
            operators.start_soon(
                listen_http,
                admin_app(sources),
                (host, self._settings.operator_port),
                finished,
                _GRACE_S,
            )
            await listen_http(
                self._callers,
                (host, self._settings.caller_port),
                self._stop.closed,
                _GRACE_S,
            )
            finished.set()

    def _readiness(self) -> Readiness:
        state = self._stop.state
        if state is not StopState.SERVING:
            return Readiness(ready=False, detail=state.value)
        if not self._control.configuration.ready():
            return Readiness(ready=False, detail='no configuration yet')
        return Readiness(ready=True)
