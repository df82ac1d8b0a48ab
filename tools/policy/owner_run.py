"""One owner under virtual time, and what became of its work."""

from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass
from random import Random
from typing import Final, final

from dandelionstage.configuration.topology import PlacedBackend, Topology
from dandelionstage.model.ids import BackendId, CallId, DataCentreId, VmId
from dandelionstage.model.messages import SubReply, SubRequest
from dandelionstage.model.verdict import Reason
from dandelionstage.owner.messages import (
    AttemptOutcome,
    OwnerCommand,
    SendReply,
    StartAttempt,
)
from dandelionstage.owner.owner import Owner
from dandelionstage.routing.replica_choice import (
    Chooser,
    choose_earliest_finish,
)

from .loop import Loop
from .server import FakeServer

__all__ = ('HERE', 'Disguise', 'Ended', 'OwnerRun', 'show_all')

HERE: Final = DataCentreId('here')
_TICK_MS: Final = 10

Disguise = Callable[[SubRequest], SubRequest]
Servers = Mapping[BackendId, FakeServer]


def show_all(sub_request: SubRequest) -> SubRequest:
    """Let the owner see a sub-request as it is."""
    return sub_request


@final
@dataclass(frozen=True, slots=True)
class Ended:
    """One sub-request with its reply.

    :ivar took_ms: from its arrival to the reply.
    """

    sub_request: SubRequest
    reply: SubReply
    took_ms: float

    @property
    def useful(self) -> bool:
        """Whether it was answered in time."""
        in_time = self.took_ms <= self.sub_request.remaining_ms
        return in_time and self.reply.verdict.reason is Reason.OK


@final
class OwnerRun:
    """Carries out the decisions of one owner.

    :ivar ended: all sub-requests with a reply.
    :ivar late_starts: attempts that started after their deadline.
    """

    def __init__(
        self,
        vm: VmId,
        servers: Servers,
        loop: Loop,
        choose: Chooser = choose_earliest_finish,
        disguise: Disguise = show_all,
    ) -> None:
        """Make an owner that takes itself for the only one.

        :param disguise: changes what the owner sees of a sub-request.
        """
        self._disguise = disguise
        self.ended: list[Ended] = []
        self.late_starts = 0
        self._servers = servers
        self._loop = loop
        self._open: dict[CallId, tuple[SubRequest, float]] = {}
        self._owner = Owner(vm, HERE, Random(vm), choose)
        self._owner.use_topology(_publish(vm, servers), 0)
        loop.after(_TICK_MS, self._tick)

    def offer(self, sub_request: SubRequest) -> None:
        """Bring one sub-request."""
        now_ms = self._loop.now_ms
        self._open[sub_request.call] = (sub_request, now_ms)
        self._do(self._owner.offer(self._disguise(sub_request), now_ms))

    def _tick(self) -> None:
        self._do(self._owner.tick(self._loop.now_ms))
        self._loop.after(_TICK_MS, self._tick)

    def _finish(self, outcome: AttemptOutcome) -> None:
        self._do(self._owner.finish(outcome, self._loop.now_ms))

    def _do(self, commands: Iterable[OwnerCommand]) -> None:
        for command in commands:
            if isinstance(command, StartAttempt):
                self.late_starts += command.deadline_ms <= self._loop.now_ms
                server = self._servers[command.backend]
                server.receive(command, self._finish)
            elif isinstance(command, SendReply):
                self._end(command.sub_reply)

    def _end(self, reply: SubReply) -> None:
        sub_request, arrived_ms = self._open.pop(reply.call)
        took_ms = self._loop.now_ms - arrived_ms
        self.ended.append(Ended(sub_request, reply, took_ms))


def _publish(vm: VmId, servers: Servers) -> Topology:
    return Topology(
        backends={
            backend: PlacedBackend(server.published, HERE)
            for backend, server in servers.items()
        },
        vm_lists={HERE: (vm,)},
    )
