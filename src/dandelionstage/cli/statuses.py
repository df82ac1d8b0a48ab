"""Read the status of many daemons at once."""

import sys
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from functools import partial
from typing import Final, final

import anyio
import httpx
import typer
from pydantic import ValidationError

from ..operations.status import Status

__all__ = ('Statuses', 'fetch_statuses')

_TIMEOUT_S: Final = 5.0
_AT_ONCE: Final = 32


@final
@dataclass(frozen=True, slots=True)
class Statuses:
    """What the daemons said.

    :ivar reached: by operator URL.
    :ivar silent: the operator URLs that gave no readable answer.
    """

    reached: dict[str, Status] = field(default_factory=dict)
    silent: list[str] = field(default_factory=list)


def fetch_statuses(operators: Sequence[str]) -> Statuses:
    """Ask every operator URL, showing progress on a terminal."""
    return anyio.run(_fetch_all, tuple(dict.fromkeys(operators)))


async def _fetch_all(operators: Sequence[str]) -> Statuses:
    async with httpx.AsyncClient(timeout=_TIMEOUT_S) as http:
        with typer.progressbar(
            length=len(operators),
            label='asking daemons',
            file=sys.stderr,
            hidden=not sys.stderr.isatty(),
        ) as progress:
            fetcher = _Fetcher(http, partial(progress.update, 1))
            async with anyio.create_task_group() as tasks:
                for operator in operators:
                    tasks.start_soon(fetcher.fetch, operator)
    return fetcher.statuses


@final
class _Fetcher:
    def __init__(
        self,
        http: httpx.AsyncClient,
        advance: Callable[[], None],
    ) -> None:
        self.statuses = Statuses()
        self._http = http
        self._advance = advance
        self._limiter = anyio.CapacityLimiter(_AT_ONCE)

    async def fetch(self, operator: str) -> None:
        """Ask one daemon."""
        async with self._limiter:
            status = await self._ask(operator)
        self._advance()
        if status is None:
            self.statuses.silent.append(operator)
        else:
            self.statuses.reached[operator] = status

    async def _ask(self, operator: str) -> Status | None:
        url = '{0}/v1/status'.format(operator.rstrip('/'))
        try:
            response = await self._http.get(url)
        except (httpx.HTTPError, httpx.InvalidURL):
            return None
        return _read(response)


def _read(response: httpx.Response) -> Status | None:
    try:
        return Status.model_validate_json(response.content)
    except ValidationError:
        return None
