"""How much of the pinned shard map an answer covers."""

from dataclasses import dataclass
from typing import final

from .ids import ShardId

__all__ = ('Coverage',)


@final
@dataclass(frozen=True, slots=True)
class Coverage:
    """What an answer states of itself.

    :ivar answered: shards whose part was merged.
    :ivar missing: the other shards of the pinned shard map, sorted.
    """

    answered: int
    missing: tuple[ShardId, ...]

    @property
    def total(self) -> int:
        """Shards in the pinned shard map."""
        return self.answered + len(self.missing)

    @property
    def complete(self) -> bool:
        """Whether every shard answered."""
        return not self.missing

    @property
    def fraction(self) -> float:
        """Share of shards answered, 0 to 1."""
        return self.answered / self.total if self.total else 0
