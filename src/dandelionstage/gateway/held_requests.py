"""Requests that wait for a short time until it is known how to treat them.

Load patterns: all VMs are killed at once and start again together.  A starting
VM knows the routes after 20 to 250 ms; a caller that is refused meanwhile
returns once, to another VM that is starting too, and gives up.

Servers end under many requests at once, and callers repeat them.  Each is sent
to one server alone, which answers within its usual time unless the request is
deadly.
"""

from collections.abc import Callable
from typing import Final, final

from .requests import CallerRequest
from .run_context import RunContext

__all__ = ('HeldRequests',)

#: A request waits at most this long, and at most this part of the time that
#: its caller waits, so that enough time is left to serve or refuse it.
_MAX_WAIT_MS: Final = 400.0
_MAX_WAIT_FRACTION: Final = 0.5
_CHECK_INTERVAL_MS: Final = 10.0
#: Further requests are refused, as serving more of them at once would take a
#: slow core too long.
_MAX_WAITING: Final = 64


@final
class _WaitingRequest:
    def __init__(
        self,
        expires_ms: float,
        is_ready: Callable[[], bool],
        resume: Callable[[], None],
        give_up: Callable[[], None],
    ) -> None:
        self.expires_ms = expires_ms
        self.is_ready = is_ready
        self.resume = resume
        self.give_up = give_up


@final
class HeldRequests:
    """Holds requests until each may go on, in order of arrival."""

    def __init__(self, context: RunContext) -> None:
        """Create an empty queue."""
        self._context = context
        self._waiting: list[_WaitingRequest] = []

    def add(
        self,
        request: CallerRequest,
        is_ready: Callable[[], bool],
        resume: Callable[[], None],
        give_up: Callable[[], None],
    ) -> bool:
        """Hold a request; return whether there was room for it.

        :param is_ready: whether the request may go on.
        :param resume: called once it may.
        :param give_up: called if that takes too long.
        """
        if len(self._waiting) >= _MAX_WAITING:
            return False
        wait_ms = min(_MAX_WAIT_MS, request.time_left_ms * _MAX_WAIT_FRACTION)
        waiting = _WaitingRequest(
            request.arrived_ms + wait_ms, is_ready, resume, give_up
        )
        request.on_disconnect = lambda: self._waiting.remove(waiting)
        self._waiting.append(waiting)
        if len(self._waiting) == 1:
            self._context.call_later(_CHECK_INTERVAL_MS, self._check)
        return True

    def _check(self) -> None:
        now_ms = self._context.now_ms()
        waiting = self._waiting
        self._waiting = []
        for each in waiting:
            if each.is_ready():
                each.resume()
            elif now_ms >= each.expires_ms:
                each.give_up()
            else:
                self._waiting.append(each)
        if self._waiting:
            self._context.call_later(_CHECK_INTERVAL_MS, self._check)
