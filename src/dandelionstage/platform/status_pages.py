"""Readiness and metrics pages for the platform."""

from collections.abc import Callable
from http import HTTPStatus
from typing import Final, final

from ..catalog.positions import era_of, revision_of
from ..gateway.caller_listener import CallerListener
from ..gateway.requests import Answer
from ..operations.events import EventLog
from .sources import CatalogSources

__all__ = ('StatusPages',)

_METRICS_TYPE: Final = b'text/plain; version=0.0.4'
_READY: Final = Answer(HTTPStatus.OK.value)
_NOT_READY: Final = Answer(HTTPStatus.SERVICE_UNAVAILABLE.value)


@final
class StatusPages:
    """Renders the readiness and metrics pages of one process."""

    def __init__(
        self,
        sources: CatalogSources,
        callers: CallerListener,
        log: EventLog,
        is_withdrawn: Callable[[], bool],
    ) -> None:
        """Store the components whose state the pages show.

        :param is_withdrawn: whether callers should go to another VM.
        """
        self._sources = sources
        self._callers = callers
        self._log = log
        self._is_withdrawn = is_withdrawn

    def ready(self) -> Answer:
        """Answer 200 if the process accepts callers, else 503."""
        if self._sources.catalog.usable and not self._is_withdrawn():
            return _READY
        return _NOT_READY

    def metrics(self) -> Answer:
        """Render all counters and gauges."""
        # Imported on first use because the metrics library is large.
        from ..operations.gateway_metrics import (  # noqa: WPS433
            render_metrics,
        )

        text = render_metrics(self._log.counts, self._gauges)
        header = (b'content-type', _METRICS_TYPE)
        return Answer(HTTPStatus.OK.value, (header,), text)

    def _gauges(self) -> dict[str, float]:
        catalog = self._sources.catalog
        return {
            'requests_in_progress': self._callers.in_progress,
            'caller_connections': self._callers.connection_count,
            'servers_listed': len(catalog.servers),
            'data_centres_evacuated': len(catalog.evacuations),
            'routes_version': catalog.routes.version if catalog.routes else 0,
            'store_revision': revision_of(catalog.as_of),
            'store_era': era_of(catalog.as_of),
            'members_known': len(self._sources.spread.members),
        }
