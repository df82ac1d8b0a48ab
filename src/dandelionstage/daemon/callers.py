"""Counts callers' requests in flight, and asks callers to go when stopping."""

from collections.abc import Callable
from typing import Final, final

from starlette.types import ASGIApp, Message, Receive, Scope, Send

from ..entry.responses import refusal_response
from ..model.ids import RequestId
from ..model.verdict import Reason, not_run

__all__ = ('InFlight',)

_CLOSE = (b'connection', b'close')
_RETRY_MS: Final = 1000
_REFUSAL: Final = refusal_response(
    RequestId(''),
    not_run(
        Reason.ADMISSION_FULL,
        'too many requests in flight on this VM',
        _RETRY_MS,
    ),
)


@final
class InFlight:
    """Wraps the caller's application.

    :ivar count: requests taken and not yet answered.
    """

    def __init__(
        self,
        app: ASGIApp,
        serving: Callable[[], bool],
        max_requests: int,
    ) -> None:
        """Wrap an application.

        :param max_requests: in flight at a time; more are refused unread.
        :param serving: once false, each connection is closed after the
            answer it waits for, so that its caller connects elsewhere.
        """
        self.count = 0
        self._app = app
        self._serving = serving
        self._max_requests = max_requests

    async def __call__(
        self,
        scope: Scope,
        receive: Receive,
        send: Send,
    ) -> None:
        """Serve one request."""
        if scope['type'] != 'http':
            await self._app(scope, receive, send)
            return
        if self.count >= self._max_requests:
            await _REFUSAL(scope, receive, send)
            return
        self.count += 1
        try:
            await self._app(scope, receive, self._closing(send))
        finally:
            self.count -= 1

    def _closing(self, send: Send) -> Send:
        async def send_and_close(message: Message) -> None:  # noqa: WPS430
            # A closure over the server's own callable.
            starts = message['type'] == 'http.response.start'
            if starts and not self._serving():
                message['headers'] = [*message['headers'], _CLOSE]
            await send(message)

        return send_and_close
