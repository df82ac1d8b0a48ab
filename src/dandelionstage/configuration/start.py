"""When a starting VM has heard enough to serve."""

import random
from collections.abc import Sequence
from typing import Final, final

from ..model.ids import VmId

__all__ = ('Start',)

#: Peers that a starting VM wants to hear from.
_ANSWERS: Final = 2

#: Peers asked at a time.
_ASKED_AT_A_TIME: Final = 3

#: A peer that did not answer in this time is followed by another.
_ANSWER_TIMEOUT_MS: Final = 500

#: A VM serves on what it has after this time, if it has anything.
_LIMIT_MS: Final = 3000


@final
class Start:
    """Asks peers as well as the service, and waits for both.

    A VM that served on the first answer could serve on a value that a
    stale service still gives while its peers already hold a newer one.
    """

    def __init__(self, random_source: random.Random) -> None:
        """Start with nobody asked."""
        self._random = random_source
        self._started_ms: float | None = None
        self._asked_ms: dict[VmId, float] = {}
        self._answered: set[VmId] = set()
        self._service_asked = False

    def ask(self, peers: Sequence[VmId], now_ms: float) -> tuple[VmId, ...]:
        """Give the peers to ask now."""
        if self._started_ms is None:
            self._started_ms = now_ms
        self._asked_ms = {
            vm: asked_ms
            for vm, asked_ms in self._asked_ms.items()
            if now_ms - asked_ms < _ANSWER_TIMEOUT_MS
        }
        fresh = [
            vm
            for vm in peers
            if vm not in self._asked_ms and vm not in self._answered
        ]
        room = max(0, _ASKED_AT_A_TIME - len(self._asked_ms))
        chosen = self._random.sample(fresh, min(room, len(fresh)))
        self._asked_ms.update(dict.fromkeys(chosen, now_ms))
        return tuple(chosen)

    def note_answer(self, vm: VmId) -> None:
        """Take note that a peer sent its documents."""
        self._asked_ms.pop(vm, None)
        self._answered.add(vm)

    def note_read(self) -> None:
        """Take note that the service was asked, whether it answered or not.

        While it is down, peers that serve know all that there is to know.
        """
        self._service_asked = True

    def enough(
        self,
        peers: Sequence[VmId],
        now_ms: float,
        *,
        complete: bool,
    ) -> bool:
        """Say whether the VM has heard enough, or waited long enough.

        :param peers: all that it knows of; none means there is none to ask.
        :param complete: it holds every document that the service named.
        """
        if self._started_ms is None:
            return False
        if now_ms - self._started_ms >= _LIMIT_MS:
            return True
        answers_wanted = min(_ANSWERS, len(peers))
        return (
            complete
            and self._service_asked
            and len(self._answered) >= answers_wanted
        )
