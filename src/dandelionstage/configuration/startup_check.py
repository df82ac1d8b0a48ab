"""Decides when a starting VM has enough answers to serve requests."""

import random
from collections.abc import Sequence
from typing import Final, final

from ..model.ids import VmId

__all__ = ('StartupCheck',)

#: Number of peers whose answers a starting VM waits for.
_ANSWERS_WANTED: Final = 2

#: Maximum number of unanswered requests to peers.
_MAX_CONCURRENT_REQUESTS: Final = 3

#: After this time without an answer another peer is asked.
_ANSWER_TIMEOUT_MS: Final = 500

#: After this time a VM that has any documents serves with these.
_STARTUP_TIMEOUT_MS: Final = 3000


@final
class StartupCheck:
    """Waits for answers of peers and for a read of the service.

    With the first answer alone, a VM could serve with an old value from a
    stale service while its peers already hold a newer one.
    """

    def __init__(self, random_source: random.Random) -> None:
        """Start without any request sent."""
        self._random = random_source
        self._started_ms: float | None = None
        self._asked_ms: dict[VmId, float] = {}
        self._answered: set[VmId] = set()
        self._service_was_read = False

    def choose_peers(
        self, peers: Sequence[VmId], now_ms: float
    ) -> tuple[VmId, ...]:
        """Return the peers to ask now."""
        if self._started_ms is None:
            self._started_ms = now_ms
        self._asked_ms = {
            vm: asked_ms
            for vm, asked_ms in self._asked_ms.items()
            if now_ms - asked_ms < _ANSWER_TIMEOUT_MS
        }
        candidates = [
            vm
            for vm in peers
            if vm not in self._asked_ms and vm not in self._answered
        ]
        room = max(0, _MAX_CONCURRENT_REQUESTS - len(self._asked_ms))
        chosen = self._random.sample(candidates, min(room, len(candidates)))
        self._asked_ms.update(dict.fromkeys(chosen, now_ms))
        return tuple(chosen)

    def record_answer(self, vm: VmId) -> None:
        """Record that a peer sent its documents."""
        self._asked_ms.pop(vm, None)
        self._answered.add(vm)

    def record_service_read(self) -> None:
        """Record that a read of the service ended, successfully or not.

        While the service is down, serving peers hold the newest documents.
        """
        self._service_was_read = True

    def is_complete(
        self,
        peers: Sequence[VmId],
        now_ms: float,
        *,
        has_all_documents: bool,
    ) -> bool:
        """Return whether enough answers arrived or the time-out passed.

        :param peers: all known peers; without any, no answer is needed.
        :param has_all_documents: whether the VM holds every document that the
            service named.
        """
        if self._started_ms is None:
            return False
        if now_ms - self._started_ms >= _STARTUP_TIMEOUT_MS:
            return True
        answers_wanted = min(_ANSWERS_WANTED, len(peers))
        return (
            has_all_documents
            and self._service_was_read
            and len(self._answered) >= answers_wanted
        )
