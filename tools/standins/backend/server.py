"""One stand-in backend server: answers calls and obeys its faults."""

from functools import partial
from http import HTTPStatus
from typing import Final, final

import anyio
from pydantic import ValidationError

from ..http import HttpReply, HttpRequest
from . import replies
from .faults import Faults, ReplyFault
from .messages import CallBody, CancelBody, ServerSetup
from .refusal import reason_to_refuse, run_of_refusal
from .running import Ending, Runner
from .witness import Event, Witness, sighting_of

__all__ = ('BackendState',)

_MS: Final = 1000


@final
class BackendState:
    """State of one server: its calls, its faults and its witness."""

    def __init__(self, setup: ServerSetup, warm_at_ms: float) -> None:
        """Take calls from the monotonic time given."""
        self.setup = setup
        self.faults = Faults()
        self.witness = Witness()
        self._runner = Runner(setup.slots, self.witness)
        self._warm_at_ms = warm_at_ms
        self._reply_faults_left = 0

    async def handle(self, request: HttpRequest) -> HttpReply:
        """Answer one request of the documented interface."""
        if request.target in {'/v1/health', '/v1/load'}:
            return HttpReply.of(
                HTTPStatus.OK,
                backend=self.setup.backend,
                incarnation=self.setup.incarnation,
                draining=self.faults.draining,
                slots_in_use=self.witness.slots.in_use,
                waiting=self.witness.queue.in_use,
            )
        try:
            return await self._post(request)
        except ValidationError as error:
            return HttpReply.of(
                HTTPStatus.BAD_REQUEST,
                reason='bad_request',
                run=replies.NOT_RUN,
                problem=str(error),
            )

    def obey(self, faults: Faults) -> None:
        """Replace all faults in force."""
        self.faults = faults
        self._reply_faults_left = faults.reply_fault_count

    async def _post(self, request: HttpRequest) -> HttpReply:
        if request.target == '/v1/cancel':
            call = CancelBody.model_validate_json(request.body).call
            state = 'cancelled' if self._runner.cancel(call) else 'unknown'
            return HttpReply.of(HTTPStatus.OK, call=call, state=state)
        body = CallBody.model_validate_json(request.body)
        reason = reason_to_refuse(
            body,
            self.setup,
            self.faults,
            waiting=self.witness.queue.in_use,
            is_warm=anyio.current_time() * _MS >= self._warm_at_ms,
        )
        if reason:
            return self._refuse(body, reason, run_of_refusal(self.faults))
        ending = await self._runner.run(
            body,
            self.setup.service_ms * self.faults.slow_factor,
            partial(self._note, Event.START, body),
        )
        return self._finish(body, ending, request.target == '/v1/act')

    def _finish(
        self,
        body: CallBody,
        ending: Ending,
        is_action: bool,
    ) -> HttpReply:
        if ending.scope.cancelled_caught:
            reason = 'cancelled' if ending.cancelled else 'deadline_expired'
            run = replies.MAY_HAVE_RUN if ending.started else replies.NOT_RUN
            return self._refuse(body, reason, run)
        self._note(Event.RUN, body)
        reply = replies.action_reply if is_action else replies.search_reply
        fault = ReplyFault.NONE
        if self._reply_faults_left > 0:
            self._reply_faults_left -= 1
            fault = self.faults.reply_fault
        return reply(body, self.setup, self.faults, fault)

    def _refuse(self, body: CallBody, reason: str, run: str) -> HttpReply:
        self._note(Event.REFUSED, body, reason)
        return replies.refusal(body, self.setup, self.faults, reason, run)

    def _note(self, event: Event, body: CallBody, reason: str = '') -> None:
        at_ms = anyio.current_time() * _MS
        self.witness.add(sighting_of(at_ms, event, body, reason))
