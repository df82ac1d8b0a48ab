"""Counts callers' requests in flight, and asks callers to go when stopping."""

from collections.abc import Callable
from typing import final

from starlette.types import ASGIApp, Message, Receive, Scope, Send

__all__ = ('InFlight',)

_CLOSE = (b'connection', b'close')


@final
class InFlight:
    """Wraps the caller's application.

    :ivar count: requests taken and not yet answered.
    """

    def __init__(self, app: ASGIApp, serving: Callable[[], bool]) -> None:
        """Wrap an application.

        :param serving: once false, each connection is closed after the
            answer it waits for, so that its caller connects elsewhere.
        """
        self.count = 0
        self._app = app
        self._serving = serving

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
