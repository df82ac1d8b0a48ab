"""Runs executions: carries their commands out and replies back in."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Any, Final, Generic, Protocol, TypeVar, final

import anyio

from ..model.ids import CallId, VmId
from ..model.messages import SubReply, SubRequest
from ..model.verdict import Reason, Run, Verdict
from ..query.messages import CancelSubRequest, SendSubRequest

__all__ = ('Courier', 'Execution', 'ExecutionRunner')

_MS_PER_S: Final = 1000

_Finish = TypeVar('_Finish')
_FinishOut = TypeVar('_FinishOut', covariant=True)


@final
@dataclass(frozen=True, slots=True)
class Courier:
    """Carries sub-requests to owners; each callable returns at once.

    :ivar send: the reply, or the loss, is reported later.
    :ivar cancel: tells an owner that a call is no longer waited for.
    """

    send: Callable[[VmId, SubRequest], None]
    cancel: Callable[[VmId, CallId], None]


class Execution(Protocol[_FinishOut]):
    """Decides what one request does next; its last command finishes it."""

    def start(
        self,
        now_ms: float,
    ) -> 'Iterable[SendSubRequest | CancelSubRequest | _FinishOut]':
        """Begin."""

    def receive(
        self,
        reply: SubReply,
        now_ms: float,
    ) -> 'Iterable[SendSubRequest | CancelSubRequest | _FinishOut]':
        """Take in the end of one attempt."""

    def wake(
        self,
        now_ms: float,
    ) -> 'Iterable[SendSubRequest | CancelSubRequest | _FinishOut]':
        """Do what is due."""

    def next_wakeup_ms(self) -> float | None:
        """Return when to wake it."""


@final
class ExecutionRunner:
    """Runs any number of executions over one courier.

    :ivar dropped: replies to no call that is waited for.
    """

    def __init__(self, courier: Courier, clock: Callable[[], float]) -> None:
        """Run nothing yet."""
        self.dropped = 0
        self._courier = courier
        self._clock = clock
        self._owners: dict[CallId, _Running[Any]] = {}

    def running(self) -> int:
        """Count the calls that are waited for."""
        return len(self._owners)

    async def run(self, execution: Execution[_Finish]) -> _Finish:
        """Run an execution to its end and return its last command."""
        running = _Running(execution)
        try:
            return await self._drive(running)
        finally:
            for call in running.calls:
                self._owners.pop(call, None)

    def take_reply(self, reply: SubReply) -> None:
        """Hand a reply to the execution that waits for it."""
        running = self._owners.get(reply.call)
        if running is None:
            self.dropped += 1
            return
        commands = running.execution.receive(reply, self._clock())
        self._apply(running, commands)
        running.changed.set()

    def take_lost(self, vm: VmId, request: SubRequest, *, sent: bool) -> None:
        """Tell an execution that a sub-request will get no reply.

        :param sent: whether any byte may have reached the owner.
        """
        run = Run.MAY_HAVE_RUN if sent else Run.NOT_RUN
        verdict = Verdict(run, Reason.PEER_UNREACHABLE)
        self.take_reply(SubReply(request.call, verdict, vm))

    async def _drive(self, running: '_Running[_Finish]') -> _Finish:
        self._apply(running, running.execution.start(self._clock()))
        while running.finish is None:
            await running.sleep(self._clock())
            if running.finish is None:
                commands = running.execution.wake(self._clock())
                self._apply(running, commands)
        return running.finish

    def _apply(
        self,
        running: '_Running[_Finish]',
        commands: 'Iterable[SendSubRequest | CancelSubRequest | _Finish]',
    ) -> None:
        for command in commands:
            if isinstance(command, SendSubRequest):
                call = command.sub_request.call
                running.calls.append(call)
                self._owners[call] = running
                self._courier.send(command.vm, command.sub_request)
            elif isinstance(command, CancelSubRequest):
                self._courier.cancel(command.vm, command.call)
            else:
                running.finish = command


@final
class _Running(Generic[_Finish]):
    """One execution and the task that waits for it."""

    def __init__(self, execution: Execution[_Finish]) -> None:
        self.execution = execution
        self.calls: list[CallId] = []
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
