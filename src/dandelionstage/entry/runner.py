"""Runs executions: carries their commands out and replies back in."""

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
#: A reply that comes this long after the end may still be of use.
_LATE_MS: Final = 30_000

_Finish = TypeVar('_Finish')
_FinishOut = TypeVar('_FinishOut', covariant=True)

_Command = SendSubRequest | CancelSubRequest | SendAction


@final
@dataclass(frozen=True, slots=True)
class Sender:
    """Carries sub-requests to owners; each callable returns at once.

    :ivar send: the reply, or the loss, is reported later.
    :ivar cancel: tells an owner that a call is no longer waited for.
    """

    send: Callable[[VmId, SubRequest], None]
    cancel: Callable[[VmId, CallId], None]


class Execution(Protocol[_FinishOut]):
    """Decides what one request does next; its last command finishes it."""

    def start(self, now_ms: float) -> 'Iterable[_Command | _FinishOut]':
        """Begin."""

    def receive(
        self,
        reply: SubReply,
        now_ms: float,
    ) -> 'Iterable[_Command | _FinishOut]':
        """Take in the end of one attempt."""

    def wake(self, now_ms: float) -> 'Iterable[_Command | _FinishOut]':
        """Do what is due."""

    def next_wakeup_ms(self) -> float | None:
        """Return when to wake it."""


@final
class ExecutionRunner:
    """Runs any number of executions over one sender.

    :ivar unmatched_replies: replies to no call that is waited for.
    :ivar clock: reads the monotonic clock in milliseconds.
    :ivar observe: takes the time that each attempt took, there and back.
    """

    def __init__(self, sender: Sender, clock: Callable[[], float]) -> None:
        """Run nothing yet."""
        self.unmatched_replies = 0
        self.observe: Observe = ignore
        self._sender = sender
        self.clock = clock
        self._waiting: dict[CallId, _Running[Any]] = {}
        self._ended: '_Ended' = deque()

    async def run(
        self,
        execution: Execution[_Finish],
        on_late: Callable[[_Finish], None] | None = None,
    ) -> _Finish:
        """Run an execution to its end and return its last command.

        :param on_late: takes a further last command, if a reply that comes
            after the end still changes it.
        """
        running = _Running(execution, on_late)
        try:
            return await self._drive(running)
        finally:
            self._forget(running)

    def handle_reply(self, reply: SubReply) -> None:
        """Hand a reply to the execution that waits for it."""
        running = self._waiting.get(reply.call)
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
        """Tell an execution that a sub-request will get no reply.

        :param sent: whether any byte may have reached the owner.
        """
        run = Run.MAY_HAVE_RUN if sent else Run.NOT_RUN
        verdict = Verdict(run, Reason.PEER_UNREACHABLE)
        self.handle_reply(SubReply(request.call, verdict, vm))

    async def _drive(self, running: '_Running[_Finish]') -> _Finish:
        self._apply(running, running.execution.start(self.clock()))
        while running.finish is None:
            await running.sleep(self.clock())
            if running.finish is None:
                commands = running.execution.wake(self.clock())
                self._apply(running, commands)
        return running.finish

    def _apply(
        self,
        running: '_Running[_Finish]',
        commands: 'Iterable[_Command | _Finish]',
    ) -> None:
        for command in commands:
            if isinstance(command, SendSubRequest | SendAction):
                call = command.sub_request.call
                customer = command.sub_request.customer
                running.calls.append(call)
                running.sent[call] = (customer, self.clock())
                self._waiting[call] = running
                self._sender.send(command.vm, command.sub_request)
            elif isinstance(command, CancelSubRequest):
                self._sender.cancel(command.vm, command.call)
            else:
                running.end(command)

    def _forget(self, running: '_Running[_Finish]') -> None:
        now_ms = self.clock()
        if running.on_late is None:
            running.drop_from(self._waiting)
        else:
            self._ended.append((now_ms + _LATE_MS, running))
        while self._ended and self._ended[0][0] <= now_ms:
            self._ended.popleft()[1].drop_from(self._waiting)


@final
class _Running(Generic[_Finish]):
    """One execution and the task that waits for it."""

    def __init__(
        self,
        execution: Execution[_Finish],
        on_late: Callable[[_Finish], None] | None,
    ) -> None:
        self.execution = execution
        self.on_late = on_late
        self.calls: list[CallId] = []
        self.sent: dict[CallId, tuple[CustomerId, float]] = {}
        self.finish: _Finish | None = None
        self.changed = anyio.Event()

    async def sleep(self, now_ms: float) -> None:
        """Wait until something changed or the execution wants to wake."""
        wakeup_ms = self.execution.next_wakeup_ms()
        if self.changed.is_set():
            self.changed = anyio.Event()
        delay_s = 0 if wakeup_ms is None else (wakeup_ms - now_ms) / _MS_PER_S
        with anyio.move_on_after(max(0, delay_s)):
            await self.changed.wait()

    def end(self, finish: _Finish) -> None:
        """Take the last command, or one that still changes it."""
        if self.finish is None:
            self.finish = finish
        elif self.on_late is not None:
            self.on_late(finish)

    def drop_from(self, waiting: 'dict[CallId, _Running[Any]]') -> None:
        """Wait for no reply any more."""
        for call in self.calls:
            waiting.pop(call, None)


_Ended = deque[tuple[float, _Running[Any]]]
