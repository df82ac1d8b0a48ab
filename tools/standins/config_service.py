"""A stand-in configuration service: read, watch, and faults on command."""

from functools import partial
from typing import Annotated, Final

import anyio
import typer
from hypercorn.asyncio import serve
from hypercorn.config import Config
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import JSONResponse, Response
from starlette.routing import Route

from dandelionstage.model.ids import DocumentKey, Revision

from .config_bodies import as_json, show_document, show_heads
from .config_history import ConfigHistory, ServiceMode

__all__ = ('main', 'make_app')

_MAX_WAIT_MS: Final = 60_000
_MS_PER_S: Final = 1000
_UNAVAILABLE: Final = 503
_NOT_FOUND: Final = 404
_DOCUMENT_PATH: Final = '/v1/documents/{key:path}'

_Port = Annotated[int, typer.Option(help='Port on loopback.')]


class _State:
    def __init__(self) -> None:
        self.history = ConfigHistory()
        self.reads = 0
        self._changed = anyio.Event()

    def wake(self) -> None:
        self._changed.set()
        self._changed = anyio.Event()

    async def wait_for_change(self, since: Revision, wait_ms: int) -> None:
        with anyio.move_on_after(min(wait_ms, _MAX_WAIT_MS) / _MS_PER_S):
            while self._has_nothing_after(since):
                await self._changed.wait()

    def _has_nothing_after(self, since: Revision) -> bool:
        if self.history.mode is ServiceMode.DOWN:
            return False
        return not self.history.heads(since).heads


class _Readers:
    def __init__(self, state: _State) -> None:
        self._state = state

    async def heads(self, request: Request) -> Response:
        self._state.reads += 1
        since = Revision(int(request.query_params.get('since', 0)))
        wait_ms = int(request.query_params.get('wait_ms', 0))
        await self._state.wait_for_change(since, wait_ms)
        history = self._state.history
        if history.mode is ServiceMode.DOWN:
            return _refuse()
        return JSONResponse(show_heads(history.heads(since)))

    async def read(self, request: Request) -> Response:
        self._state.reads += 1
        history = self._state.history
        if history.mode is ServiceMode.DOWN:
            return _refuse()
        document = history.document(_key_of(request))
        if document is None:
            return JSONResponse({'reason': 'unknown'}, _NOT_FOUND)
        return JSONResponse(show_document(document))


class _Operators:
    def __init__(self, state: _State) -> None:
        self._state = state

    async def write(self, request: Request) -> Response:
        """Publish a document, or withdraw it."""
        body = b''
        if request.method == 'PUT':
            body = as_json(await request.body())
        revision = self._state.history.write(_key_of(request), body)
        self._state.wake()
        return JSONResponse({'revision': revision})

    async def control(self, request: Request) -> Response:
        """Start or end a fault."""
        faults = await request.json()
        mode = ServiceMode(faults['mode'])
        self._state.history.treat(mode, faults.get('visible'))
        self._state.wake()
        return JSONResponse({'mode': mode.value})

    async def count(self, _request: Request) -> Response:
        """Say how often the service was read."""
        return JSONResponse({'reads': self._state.reads})


def make_app() -> Starlette:
    """Make the application that serves one empty history."""
    state = _State()
    readers = _Readers(state)
    operators = _Operators(state)
    changes = ['PUT', 'DELETE']
    return Starlette(
        routes=[
            Route('/v1/heads', readers.heads),
            Route(_DOCUMENT_PATH, readers.read, methods=['GET']),
            Route(_DOCUMENT_PATH, operators.write, methods=changes),
            Route('/control/faults', operators.control, methods=['POST']),
            Route('/control/reads', operators.count),
        ],
    )


def _key_of(request: Request) -> DocumentKey:
    return DocumentKey(request.path_params['key'])


def _refuse() -> Response:
    return JSONResponse({'reason': 'down'}, _UNAVAILABLE)


def main(port: _Port) -> None:
    """Serve as a configuration service on loopback until stopped."""
    config = Config()
    config.bind = ['127.0.0.1:{0}'.format(port)]
    anyio.run(partial(serve, make_app(), config))  # type: ignore[arg-type]


if __name__ == '__main__':
    typer.run(main)
