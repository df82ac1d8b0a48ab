"""Compare two contracts term by term."""

from dataclasses import dataclass
from typing import final

from ..model.contract import Contract

__all__ = ('Change', 'changes')


@final
@dataclass(frozen=True, slots=True)
class Change:
    """One term that differs."""

    term: str
    old: str
    new: str


def changes(old: Contract, new: Contract) -> tuple[Change, ...]:
    """List the terms that differ, in the order of the contract."""
    before = old.model_dump(mode='json')
    after = new.model_dump(mode='json')
    return tuple(
        Change(term, str(before[term]), str(after[term]))
        for term in before
        if before[term] != after[term]
    )
