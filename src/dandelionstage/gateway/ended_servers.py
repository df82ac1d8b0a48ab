"""Servers that ended while they had the request of one run."""

from typing import Final, final

from ..placing.deadly_requests import Verdict
from .requests import CallerRequest
from .run_context import RunContext

__all__ = ('EndedServers',)

_INFINITE: Final = float('inf')


@final
class EndedServers:  # noqa: WPS214 -- short methods
    """Counts the servers that end under one request, and records them."""

    def __init__(self, request: CallerRequest, context: RunContext) -> None:
        """Create a count of zero."""
        self._request = request
        self._context = context
        self._is_any = False
        self._unrecorded_count = 0
        self._sent_ms = _INFINITE

    @property
    def is_any(self) -> bool:
        """Whether servers ended under the request since it was answered.

        Those that other VMs saw count too.
        """
        if self._is_any:
            return True
        deadly = self._context.deadly
        # A digest is needed only if something is known of any request.
        return bool(len(deadly)) and deadly.has_ends(self._request.digest)

    @property
    def is_deadly(self) -> bool:
        """Whether the request is to be sent to no further server."""
        verdict = self._context.deadly.verdict(
            self._request.digest, self._context.now_ms()
        )
        return verdict is Verdict.DEADLY

    @property
    def have_restarted(self) -> bool:
        """Whether the servers that ended had time to start again."""
        return not self._unrecorded_count and (
            self._context.deadly.have_restarted(
                self._request.digest, self._context.now_ms()
            )
        )

    def add(self, sent_ms: float) -> None:
        """Count a server that ended.

        :param sent_ms: when the request was sent to it.
        """
        self._is_any = True
        self._unrecorded_count += 1
        self._sent_ms = min(self._sent_ms, sent_ms)

    def record(self) -> None:
        """Record the servers counted since the last call together.

        They may have ended by one cause.
        """
        if self._unrecorded_count:
            self._context.deadly.record_end(
                self._request.digest,
                self._unrecorded_count,
                self._sent_ms,
                self._context.now_ms(),
            )
            self._unrecorded_count = 0
            self._sent_ms = _INFINITE

    def begin_trial(self) -> None:
        """Have other VMs wait for the outcome of the next attempt."""
        self._context.deadly.begin_trial(
            self._request.digest, self._context.now_ms()
        )

    def record_answer(self) -> None:
        """Record that a server has answered the request."""
        self._is_any = False
        self._unrecorded_count = 0
        self._sent_ms = _INFINITE
        if len(self._context.deadly):
            self._context.deadly.record_answer(
                self._request.digest, self._context.now_ms()
            )
