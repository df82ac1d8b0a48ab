"""The operator's HTTP interface: health, readiness, metrics and status."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from http import HTTPStatus
from typing import final

import anyio
from prometheus_client import CONTENT_TYPE_LATEST
from pydantic import BaseModel
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import JSONResponse, Response
from starlette.routing import Route

__all__ = ('AdminSources', 'Readiness', 'admin_app')


@final
@dataclass(frozen=True, slots=True)
class Readiness:
    """Whether callers may be sent here.

    :ivar detail: why not, or what is served.
    """

    ready: bool
    detail: str = ''


@final
@dataclass(frozen=True, slots=True)
class AdminSources:
    """Where the answers come from.

    :ivar readiness: read on each ``/readyz``.
    :ivar metrics: the metrics in the Prometheus text format.
    :ivar status: shown as JSON.
    :ivar prepare: short steps taken before the metrics or the status are
        read, with time for requests in between.
    """

    readiness: Callable[[], Readiness]
    metrics: Callable[[], bytes]
    status: Callable[[], BaseModel]
    prepare: Callable[[], Iterable[None]] = tuple


def admin_app(sources: AdminSources) -> Starlette:
    """Build the ASGI application for the operator port."""

    async def healthz(request: Request) -> Response:  # noqa: WPS430 -- a route
        return JSONResponse({'status': 'ok'})

    async def readyz(request: Request) -> Response:  # noqa: WPS430 -- a route
        return _show_readiness(sources.readiness())

    async def metrics(request: Request) -> Response:  # noqa: WPS430 -- a route
        await _prepare(sources)
        return Response(sources.metrics(), media_type=CONTENT_TYPE_LATEST)

    async def status(request: Request) -> Response:  # noqa: WPS430 -- a route
        await _prepare(sources)
        body = sources.status().model_dump_json()
        return Response(body, media_type='application/json')

    return Starlette(
        routes=[
            Route('/healthz', healthz),
            Route('/readyz', readyz),
            Route('/metrics', metrics),
            Route('/v1/status', status),
        ],
    )


async def _prepare(sources: AdminSources) -> None:
    for _ in sources.prepare():
        await anyio.sleep(0)


def _show_readiness(readiness: Readiness) -> Response:
    code = HTTPStatus.OK if readiness.ready else HTTPStatus.SERVICE_UNAVAILABLE
    return JSONResponse(
        {'ready': readiness.ready, 'detail': readiness.detail},
        status_code=code,
    )
