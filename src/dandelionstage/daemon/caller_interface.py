"""Builds the caller's interface over the parts of a daemon."""

from collections.abc import Callable
from secrets import token_bytes
from typing import Final, final

from anyio.abc import TaskGroup
from starlette.applications import Starlette

from ..actions.ticket_table import Minter, TicketLimits, TicketTable
from ..entry.action_service import ActionService, Forwarder
from ..entry.app import CallerApi, caller_app
from ..entry.customers import CustomerKeys
from ..entry.minting import MintingService
from ..entry.query_service import QueryService
from ..entry.request_reader import RequestReader
from ..model.ids import CallId
from ..query.shared_state import SharedQueryState
from ..settings.model import Settings
from .action_plans import plan_actions
from .call_ids import call_ids
from .clock import monotonic_ms, wall_s
from .inbound import InboundActions
from .node import Node

__all__ = ('CallerServices',)

_SECRET_BYTES: Final = 32
_NewCall = Callable[[], CallId]


@final
class CallerServices:
    """The services behind the caller port.

    :ivar minting: the tickets that this process answers for.
    """

    def __init__(
        self,
        node: Node,
        settings: Settings,
        group: TaskGroup,
    ) -> None:
        """Wire the services to a node.

        :param group: runs actions, whoever waits for them.
        """
        new_call = call_ids(node.greeting.vm, node.greeting.incarnation)
        limits = TicketLimits()
        self.minting = _build_minting(node, limits, group, new_call)
        self._node = node
        self._settings = settings
        self._queries = _build_queries(node, new_call)
        self._actions = self._build_actions(limits, new_call)

    def app(self, accepting: Callable[[], bool]) -> Starlette:
        """Build the ASGI application for the caller port.

        :param accepting: false once a planned stop takes no new requests.
        """
        reader = RequestReader(
            topology=self._node.facts.topology,
            accepting=accepting,
            clock=monotonic_ms,
            keys=CustomerKeys(),
            max_body_bytes=self._settings.bounds.max_body_bytes,
        )
        return caller_app(
            CallerApi(
                reader,
                self._queries,
                self._actions,
                self._node.metrics,
                wall_s,
            ),
        )

    def _build_actions(
        self,
        limits: TicketLimits,
        new_call: _NewCall,
    ) -> ActionService:
        node = self._node
        forwarder = Forwarder(node.greeting.vm, self.minting, node.peers.send)
        inbound = InboundActions(self.minting, forwarder)
        inbound.register(node.dispatch)
        return ActionService(
            forwarder=forwarder,
            minting=self.minting,
            incarnation_of=node.incarnation_of,
            admit=node.admission.admit,
            release=node.admission.release,
            new_call=new_call,
            metrics=node.metrics,
            clock=monotonic_ms,
            lifetime_ms=limits.lifetime_ms,
        )


def _build_minting(
    node: Node,
    limits: TicketLimits,
    group: TaskGroup,
    new_call: _NewCall,
) -> MintingService:
    greeting = node.greeting
    minter = Minter(
        greeting.vm,
        greeting.incarnation,
        token_bytes(_SECRET_BYTES),
    )
    return MintingService(
        TicketTable(minter, node.random, limits),
        plan_actions(node.facts),
        node.runner,
        group,
        new_call,
    )


def _build_queries(node: Node, new_call: _NewCall) -> QueryService:
    tools = SharedQueryState(
        route=node.facts.router.targets,
        workload_of=node.facts.workload,
        new_call=new_call,
        random=node.random,
    )
    return QueryService(
        runner=node.runner,
        shared_state=tools,
        admit=node.admission.admit,
        release=node.admission.release,
        metrics=node.metrics,
        clock=monotonic_ms,
    )
