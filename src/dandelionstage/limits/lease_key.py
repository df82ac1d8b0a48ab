"""How shared limits are named in lease messages."""

from dataclasses import dataclass
from enum import Enum, unique
from typing import Self, final

__all__ = ('LeaseKey', 'LimitKind')


@unique
class LimitKind(Enum):
    """What is lent."""

    SLOTS = 'slots'
    QUOTA = 'quota'


@final
@dataclass(frozen=True, slots=True)
class LeaseKey:
    """The key of a lease.

    :ivar name: of the backend server or the customer.
    :ivar digest: the shares that the sender sees; in a grant, empty unless
        the lender sees the same and uses no more than its own.
    """

    kind: LimitKind
    name: str
    digest: str

    def encode(self) -> str:
        """Write the key as a message carries it."""
        return '/'.join((self.kind.value, self.name, self.digest))

    @classmethod
    def decode(cls, key: str) -> Self | None:
        """Read a key, ``None`` if it is not one."""
        kind, _, rest = key.partition('/')
        name, _, digest = rest.rpartition('/')
        try:
            return cls(LimitKind(kind), name, digest)
        except ValueError:
            return None
