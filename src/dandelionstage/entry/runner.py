"""Runs executions: carries out their commands and passes on replies."""

from collections import deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Any, Final, Generic, Protocol, TypeVar, final

import anyio

from ..actions.messages import SendAction
from ..model.ids import CallId, CustomerId, VmId
from ..model.messages import SubReply, SubRequest
from ..model.verdict import Reason, Run, Verdict
from ..operations.labels import Hop, Observe, ignore
from ..query.messages import CancelSubRequest, SendSubRequest

__all__ = ('Sender', 'Execution', 'ExecutionRunner')

_MS_PER_S: Final = 1000
#: Time after the end of an execution in which it still receives replies.
_LATE_REPLY_MS: Final = 30_000

_Finish = TypeVar('_Finish')
_FinishOut = TypeVar('_FinishOut', covariant=True)

_Command = SendSubRequest | CancelSubRequest | SendAction


@final
@dataclass(frozen=True, slots=True)
class Sender:
    """Sends sub-requests to owners; neither callable blocks.

    :ivar send: sends a sub-request; its reply or loss is later reported to
        the runner.
    :ivar cancel: cancels a call at an owner.
    """

    send: Callable[[VmId, SubRequest], None]
    cancel: Callable[[VmId, CallId], None]


class Execution(Protocol[_FinishOut]):
    """Decides the next commands of one request.

    A command that is neither a send nor a cancel finishes the request.
    """

    def start(self, now_ms: float) -> 'Iterable[_Command | _FinishOut]':
        """Return the first commands."""

    def receive(
        self,
        reply: SubReply,
        now_ms: float,
    ) -> 'Iterable[_Command | _FinishOut]':
        """Return the commands that follow from the reply to an attempt."""

    def wake(self, now_ms: float) -> 'Iterable[_Command | _FinishOut]':
        """Return the commands that are due."""

    def next_wakeup_ms(self) -> float | None:
        """Return when to call ``wake``, ``None`` once finished.

        The time is on the clock of ``now_ms``, in milliseconds.
        """


@final
class ExecutionRunner:
    """Runs any number of executions with one sender.

    :ivar unmatched_replies: number of replies to calls that no execution
        waits for.
    :ivar clock: returns the monotonic time in milliseconds.
    :ivar observe: called with the hop, the customer and the round-trip time in
        milliseconds of each attempt that got a reply or was lost.
    """

    def __init__(self, sender: Sender, clock: Callable[[], float]) -> None:
        """Create a runner without executions."""
        self.unmatched_replies = 0
        self.observe: Observe = ignore
        self._sender = sender
        self.clock = clock
        self._by_call: dict[CallId, _RunningExecution[Any]] = {}
        self._ended: '_EndedExecutions' = deque()

    async def run(
        self,
        execution: Execution[_Finish],
        on_late_finish: Callable[[_Finish], None] | None = None,
    ) -> _Finish:
        """Run an execution and return the command that finishes it.

        :param on_late_finish: called with each further finishing command, which
            a reply after the end may cause.
        """
        running = _RunningExecution(execution, on_late_finish)
        try:
            return await self._run_to_finish(running)
        finally:
            self._unregister(running)

    def handle_reply(self, reply: SubReply) -> None:
        """Pass a reply to the execution that waits for it."""
        running = self._by_call.get(reply.call)
        if running is None:
            self.unmatched_replies += 1
            return
        now_ms = self.clock()
        sent = running.sent.pop(reply.call, None)
        if sent is not None:
            customer, sent_ms = sent
            self.observe(Hop.SUB_REQUEST, customer, now_ms - sent_ms)
        self._apply(running, running.execution.receive(reply, now_ms))
        running.changed.set()

    def handle_loss(self, vm: VmId, request: SubRequest, *, sent: bool) -> None:
        """Report to an execution that a sub-request will get no reply.

        :param sent: whether any byte may have reached the owner.
        """
        run = Run.MAY_HAVE_RUN if sent else Run.NOT_RUN
        verdict = Verdict(run, Reason.PEER_UNREACHABLE)
        self.handle_reply(SubReply(request.call, verdict, vm))

    async def _run_to_finish(
        self, running: '_RunningExecution[_Finish]'
    ) -> _Finish:
        self._apply(running, running.execution.start(self.clock()))
        while running.finish is None:
            await running.sleep(self.clock())
            if running.finish is None:
                commands = running.execution.wake(self.clock())
                self._apply(running, commands)
        return running.finish

    def _apply(
        self,
        running: '_RunningExecution[_Finish]',
        commands: 'Iterable[_Command | _Finish]',
    ) -> None:
        for command in commands:
            if isinstance(command, SendSubRequest | SendAction):
                call = command.sub_request.call
                customer = command.sub_request.customer
                running.calls.append(call)
                running.sent[call] = (customer, self.clock())
                self._by_call[call] = running
                self._sender.send(command.vm, command.sub_request)
            elif isinstance(command, CancelSubRequest):
                self._sender.cancel(command.vm, command.call)
            else:
                running.end(command)

    def _unregister(self, running: '_RunningExecution[_Finish]') -> None:
        now_ms = self.clock()
        if running.on_late_finish is None:
            running.remove_calls_from(self._by_call)
        else:
            self._ended.append((now_ms + _LATE_REPLY_MS, running))
        while self._ended and self._ended[0][0] <= now_ms:
            self._ended.popleft()[1].remove_calls_from(self._by_call)


@final
class _RunningExecution(Generic[_Finish]):
    """State of one execution and of the task that waits for it.

    :ivar calls: all calls of the execution.
    :ivar sent: customer and time of sending, in milliseconds, of each call
        that has neither a reply nor a loss yet.
    :ivar finish: the command that finished the execution, ``None`` before.
    :ivar changed: set by each reply, to end the wait in ``sleep``.
    """

    def __init__(
        self,
        execution: Execution[_Finish],
        on_late_finish: Callable[[_Finish], None] | None,
    ) -> None:
        self.execution = execution
        self.on_late_finish = on_late_finish
        self.calls: list[CallId] = []
        self.sent: dict[CallId, tuple[CustomerId, float]] = {}
        self.finish: _Finish | None = None
        self.changed = anyio.Event()

    async def sleep(self, now_ms: float) -> None:
        """Wait for a reply or until the execution's wake-up time."""
        wakeup_ms = self.execution.next_wakeup_ms()
        if self.changed.is_set():
            self.changed = anyio.Event()
        delay_s = 0 if wakeup_ms is None else (wakeup_ms - now_ms) / _MS_PER_S
        with anyio.move_on_after(max(0, delay_s)):
            await self.changed.wait()

    def end(self, finish: _Finish) -> None:
        """Process the finishing command, or a further one after it."""
        if self.finish is None:
            self.finish = finish
        elif self.on_late_finish is not None:
            self.on_late_finish(finish)

    def remove_calls_from(
        self, by_call: 'dict[CallId, _RunningExecution[Any]]'
    ) -> None:
        """Remove the calls of this execution from the index of calls."""
        for call in self.calls:
            by_call.pop(call, None)


#: Ended executions, each with the time in milliseconds up to which it receives
#: replies.  The one with the earliest time is first.
_EndedExecutions = deque[tuple[float, _RunningExecution[Any]]]
