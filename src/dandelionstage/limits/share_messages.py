"""How requests for a backend server's slots are named."""

from dataclasses import dataclass
from typing import Final, Self, final

from ..model.ids import BackendId

__all__ = ('SHARE_PREFIX', 'ShareKey')

SHARE_PREFIX: Final = 'slots'


@final
@dataclass(frozen=True, slots=True)
class ShareKey:
    """The key of a lease of slots.

    :ivar digest: the shares that the sender sees; in a grant, empty unless
        the lender sees the same and uses no more than its own.
    """

    backend: BackendId
    digest: str

    def encode(self) -> str:
        """Write the key as a message carries it."""
        return '/'.join((SHARE_PREFIX, self.backend, self.digest))

    @classmethod
    def decode(cls, key: str) -> Self | None:
        """Read a key, ``None`` if it is another limit's."""
        prefix, _, rest = key.partition('/')
        backend, _, digest = rest.rpartition('/')
        if prefix != SHARE_PREFIX or not backend:
            return None
        return cls(BackendId(backend), digest)
