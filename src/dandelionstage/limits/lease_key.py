"""Keys that name shared limits in lease messages."""

from dataclasses import dataclass
from enum import Enum, unique
from typing import Self, final

__all__ = ('LeaseKey', 'LimitKind')


@unique
class LimitKind(Enum):
    """Kind of a limit that VMs lend to each other."""

    SLOTS = 'slots'
    QUOTA = 'quota'


@final
@dataclass(frozen=True, slots=True)
class LeaseKey:
    """Names a shared limit in a lease request or grant.

    :ivar name: the backend server or the customer whose limit it is.
    :ivar digest: digest of the shares by the sender's documents; in a grant
        it is empty unless the lender has the same digest and uses no part of
        the borrower's share.
    """

    kind: LimitKind
    name: str
    digest: str

    def encode(self) -> str:
        """Return the key in the text form that messages use."""
        return '/'.join((self.kind.value, self.name, self.digest))

    @classmethod
    def decode(cls, key: str) -> Self | None:
        """Parse a key; return ``None`` if its kind is unknown."""
        kind, _, rest = key.partition('/')
        name, _, digest = rest.rpartition('/')
        try:
            return cls(LimitKind(kind), name, digest)
        except ValueError:
            return None
