"""Detects that this VM's data centre is cut off, and acts on it."""

import asyncio
from typing import Any, Final, final

from ..gateway.clock import now_ms
from ..operations.events import EventLog
from ..placing.replicas import Replicas
from ..spread.gossip_node import GossipNode
from ..spread.isolation import IsolationDetector
from .store_client import StoreClient, StoreUnavailable

__all__ = ('IsolationCheck',)

_INTERVAL_S: Final = 0.15


@final
class IsolationCheck:
    """Watches for signs of life from other data centres.

    :ivar is_cut_off: whether the data centre is cut off.
    """

    def __init__(
        self,
        client: StoreClient,
        spread: GossipNode,
        replicas: Replicas[Any],
        log: EventLog,
    ) -> None:
        """Store the arguments; :meth:`run` starts watching.

        :param client: client of the store that only this object uses.
        """
        self.is_cut_off = False
        self._detector = IsolationDetector()
        self._client = client
        self._spread = spread
        self._replicas = replicas
        self._log = log

    async def run(self) -> None:
        """Check until cancelled."""
        while True:
            await asyncio.sleep(_INTERVAL_S)
            await self._check()

    async def _check(self) -> None:
        self._record_heard()
        at_ms = now_ms()
        if self._detector.should_probe(at_ms):
            self._spread.probe_elsewhere()
            self._detector.record_probe(at_ms)
        if self._detector.should_ask_store(at_ms):
            is_silent = await self._is_store_silent()
            self._record_heard()
            self._detector.record_store(is_silent=is_silent, now_ms=now_ms())
        if self._detector.is_cut_off is not self.is_cut_off:
            self._change_state()

    def _record_heard(self) -> None:
        heard_ms = max(
            self._spread.members.heard_elsewhere_ms,
            self._replicas.remote_answer_ms,
        )
        if heard_ms > float('-inf'):
            self._detector.record_heard(heard_ms)

    async def _is_store_silent(self) -> bool:
        try:
            await self._client.read_revision(allow_stale=True)
        except StoreUnavailable as fault:
            # A refusal is an answer, too: only the network is in question.
            return not fault.is_answered
        finally:
            self._client.close()
        return False

    def _change_state(self) -> None:
        self.is_cut_off = self._detector.is_cut_off
        self._replicas.use_only_local(only_local=self.is_cut_off)
        self._log.event(
            'data_centre_cut_off'
            if self.is_cut_off
            else 'data_centre_reconnected',
            members=len(self._spread.members),
        )
