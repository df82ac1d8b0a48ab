"""Cells of the fault matrix that concern queries at the entry."""

__all__ = ('CELLS', 'GUARDS')

CELLS = ()
GUARDS = ()
