"""The links of a daemon, found by the VM they lead to."""

from collections import Counter
from dataclasses import replace
from typing import final

from ..model.ids import VmId
from .link import Clock, Link, LinkEnd, LinkHandlers
from .messages import Hello

__all__ = ('LinkTable',)


@final
class LinkTable:
    """Keeps every link until it has ended.

    :ivar ends: how many links ended for each reason.
    """

    def __init__(
        self,
        greeting: Hello,
        handlers: LinkHandlers,
        clock: Clock,
    ) -> None:
        """Start without links."""
        self.ends: Counter[LinkEnd] = Counter()
        self._greeting = greeting
        self._handlers = handlers
        self._clock = clock
        self._dialled: dict[VmId, Link] = {}
        self._links: set[Link] = set()

    def find(self, vm: VmId) -> Link | None:
        """Find the link that was dialled to this VM."""
        return self._dialled.get(vm)

    def add(self, vm: VmId | None) -> Link:
        """Make a link, dialled to this VM or accepted from an unknown one."""
        handlers = replace(self._handlers, ended=self._drop)
        link = Link(self._greeting, handlers, self._clock, vm)
        self._links.add(link)
        if vm is not None:
            self._dialled[vm] = link
        return link

    def forget(self, vm: VmId) -> None:
        """Close the link to a VM whose address or process changed."""
        link = self._dialled.pop(vm, None)
        if link is not None:
            link.close(LinkEnd.CLOSED)

    def check(self) -> None:
        """Let each link look at how long it has been quiet."""
        now_ms = self._clock()
        for link in tuple(self._links):
            link.check(now_ms)

    def _drop(self, link: Link, end: LinkEnd) -> None:
        self.ends[end] += 1
        self._links.discard(link)
        self._dialled = {
            vm: other for vm, other in self._dialled.items() if other != link
        }
        self._handlers.ended(link, end)
