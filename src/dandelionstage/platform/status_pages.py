"""Answers the platform's questions about a process."""

from collections.abc import Callable
from http import HTTPStatus
from typing import Final, final

from ..gateway.caller_listener import CallerListener
from ..gateway.requests import Answer
from ..operations.events import EventLog
from .sources import Sources

__all__ = ('StatusPages',)

_METRICS_TYPE: Final = b'text/plain; version=0.0.4'
_READY: Final = Answer(HTTPStatus.OK.value)
_NOT_READY: Final = Answer(HTTPStatus.SERVICE_UNAVAILABLE.value)


@final
class StatusPages:
    """Says whether callers may come, and shows counts and gauges."""

    def __init__(
        self,
        sources: Sources,
        callers: CallerListener,
        log: EventLog,
        is_stopping: Callable[[], bool],
    ) -> None:
        """Look at the parts of one process."""
        self._sources = sources
        self._callers = callers
        self._log = log
        self._is_stopping = is_stopping

    def ready(self) -> Answer:
        """Say whether callers may be sent here."""
        if self._sources.catalog.usable and not self._is_stopping():
            return _READY
        return _NOT_READY

    def metrics(self) -> Answer:
        """Show everything that is counted."""
        # Loaded when first asked for, as the metrics library is large.
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
            'routes_version': catalog.routes.version if catalog.routes else 0,
            'store_revision': catalog.as_of,
            'members_known': len(self._sources.spread.members),
        }
