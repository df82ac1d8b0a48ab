"""The tasks that keep membership and documents up to date."""

from typing import Final, final

from anyio.abc import TaskGroup

from ..configuration.document_sync import DocumentSync
from ..inner.link import Link
from ..membership.messages import Identity
from ..model.ids import VmId
from ..model.messages import Digest, Documents, Leaving, Pull
from ..settings.model import Settings
from .configuration_events import (
    DigestHeard,
    DocumentsReceived,
    PullReceived,
)
from .configuration_task import ConfigurationTask
from .event_sources import watch_events
from .journal import Journal
from .membership_task import MembershipTask
from .node import Node
from .peer_view import view_peers
from .service_client import ServiceClient

__all__ = ('Control', 'service_url')

_SERVICE_URL: Final = 'http://{0}:{1}'


@final
class Control:
    """What a daemon does to know the fleet, apart from serving.

    :ivar configuration: says whether there is enough to serve on.
    """

    def __init__(
        self,
        node: Node,
        settings: Settings,
        client: ServiceClient,
    ) -> None:
        """Wire the tasks to the node; ``start`` runs them."""
        facts = node.facts
        greeting = node.greeting
        identity = Identity(
            greeting.vm,
            greeting.incarnation,
            greeting.data_centre,
        )
        document_sync = DocumentSync(
            facts.store,
            view_peers(facts.members, identity),
            node.random,
        )
        self.configuration = ConfigurationTask(
            facts.store,
            document_sync,
            node.peers.send,
            lambda topology: facts.refresh(),
        )
        watch_events(node, document_sync.counts)
        self._journal = Journal(facts.store)
        self._client = client
        self._members = facts.members
        self._membership = MembershipTask(
            facts.members,
            (str(settings.host), settings.inner_port),
            facts.address_of,
            self._hear_digest,
        )
        node.dispatch.register(Pull, self._take_pull)
        node.dispatch.register(Documents, self._take_documents)
        node.dispatch.register(Leaving, self._take_leaving)

    def start(self, group: TaskGroup) -> None:
        """Run the tasks until the group is cancelled."""
        group.start_soon(self.configuration.run, self._client)
        group.start_soon(self._membership.run)
        group.start_soon(self._journal.run)

    def _hear_digest(self, vm: VmId, digest: Digest) -> None:
        self.configuration.post(DigestHeard(vm, digest))

    def _take_pull(self, link: Link, pull: Pull) -> None:
        if link.peer is not None:
            self.configuration.post(PullReceived(link.peer, pull))

    def _take_documents(self, link: Link, documents: Documents) -> None:
        if link.peer is not None:
            event = DocumentsReceived(link.peer, documents)
            self.configuration.post(event)

    def _take_leaving(self, link: Link, leaving: Leaving) -> None:
        self._members.note_leaving(leaving)


def service_url(settings: Settings) -> str:
    """Give the URL of the configuration service."""
    address = settings.config_service
    return _SERVICE_URL.format(address.host, address.port)
