"""Coverage of the pinned shard map by an answer."""

from dataclasses import dataclass
from typing import final

from .ids import ShardId

__all__ = ('Coverage',)


@final
@dataclass(frozen=True, slots=True)
class Coverage:
    """Counts the shards of the pinned shard map that an answer covers.

    :ivar answered: number of shards whose part was merged.
    :ivar missing: the other shards of the pinned shard map, sorted.
    """

    answered: int
    missing: tuple[ShardId, ...]

    @property
    def total(self) -> int:
        """Number of shards in the pinned shard map."""
        return self.answered + len(self.missing)

    @property
    def complete(self) -> bool:
        """Whether every shard answered."""
        return not self.missing

    @property
    def fraction(self) -> float:
        """Share of shards that answered, 0 to 1; 0 without any shard."""
        return self.answered / self.total if self.total else 0
