"""Accepts connections for one stand-in backend server up to its limit."""

from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass, replace
from http import HTTPStatus
from typing import Final, final

import anyio
from anyio.abc import SocketAttribute, SocketStream, TaskStatus

from ..http import HttpReply, HttpRequest, Sending
from ..serving import serve_stream, swallow
from .faults import Faults, Silence
from .messages import ServerSetup
from .server import BackendState

__all__ = ('Listener', 'Listening', 'listen')

_MS: Final = 1000
_HOST: Final = '127.0.0.1'


@final
class Listener:
    """Serves the connections of one server."""

    def __init__(self, state: BackendState) -> None:
        """Start with no connection open."""
        self._state = state
        self._doors: set[_Door] = set()

    async def accept(self, stream: SocketStream) -> None:
        """Serve one connection, or close it if the server is full."""
        connections = self._state.witness.connections
        if connections.in_use >= self._state.setup.max_connections:
            self._state.witness.refused_connections += 1
            await stream.aclose()
            return
        door = _Door(self, self._state, stream)
        with self._standing(door):
            async with stream:
                await door.serve()

    def control(self, request: HttpRequest) -> HttpReply:
        """Answer a command or a question of the test itself."""
        if request.target == '/control/log':
            return HttpReply.of(HTTPStatus.OK, log=self._state.witness.log())
        if request.target == '/control/maxima':
            return HttpReply.of(HTTPStatus.OK, **self._state.witness.describe())
        if request.target != '/control/faults':
            return HttpReply.of(HTTPStatus.NOT_FOUND)
        self.obey(Faults.model_validate_json(request.body))
        return HttpReply.of(HTTPStatus.OK)

    def obey(self, faults: Faults) -> None:
        """Replace all faults in force; silence falls at once."""
        self._state.obey(faults)
        for door in self._doors:
            if not door.control:
                door.obey(faults)

    @contextmanager
    def _standing(self, door: '_Door') -> Iterator[None]:
        connections = self._state.witness.connections
        connections.in_use += 1
        self._state.witness.opened_connections += 1
        self._doors.add(door)
        try:  # noqa: WPS501 -- the connection is counted out, errors pass
            yield
        finally:
            self._doors.discard(door)
            connections.in_use -= not door.control


@final
class _Door:
    """One accepted connection: may go silent, or turn out to be control."""

    def __init__(
        self,
        listener: Listener,
        state: BackendState,
        stream: SocketStream,
    ) -> None:
        self.control = False
        self._listener = listener
        self._state = state
        self._stream = stream
        self._silent = state.faults.silence in {Silence.NEW, Silence.ALL}
        self._busy = False
        self._scope = anyio.CancelScope()

    async def serve(self) -> None:
        """Serve until the client closes; swallow everything once silent."""
        with self._scope:
            await anyio.sleep(self._state.setup.connect_ms / _MS)
            if not self._silent:
                await serve_stream(self._stream, self._handle)
        if self._silent:
            await swallow(self._stream)

    def obey(self, faults: Faults) -> None:
        """Go silent for good, or close.

        A call that runs while its connection falls silent runs to its end.
        """
        if faults.silence in {Silence.OPEN, Silence.ALL}:
            self._silent = True
        if faults.hang_up or (self._silent and not self._busy):
            self._scope.cancel()

    async def _handle(self, request: HttpRequest) -> HttpReply:
        connections = self._state.witness.connections
        if request.target.startswith('/control/'):
            connections.in_use -= not self.control
            self.control = True
            return self._listener.control(request)
        connections.note()
        self._busy = True
        reply = await self._state.handle(request)
        self._busy = False
        if self._silent:
            return replace(reply, sending=Sending.WITHHELD)
        return reply


@final
@dataclass(frozen=True, slots=True)
class Listening:
    """A server that takes connections."""

    listener: Listener
    state: BackendState
    port: int


async def listen(
    setup: ServerSetup,
    *,
    task_status: TaskStatus[Listening],
) -> None:
    """Serve one server on loopback until cancelled."""
    sockets = await anyio.create_tcp_listener(
        local_host=_HOST,
        local_port=setup.port,
    )
    now_ms = anyio.current_time() * _MS
    state = BackendState(setup, now_ms + setup.cold_ms)
    listener = Listener(state)
    port = sockets.extra(SocketAttribute.local_port)
    task_status.started(Listening(listener, state, port))
    await sockets.serve(listener.accept)
