"""Prints how each policy compares with its baseline, under virtual time.

Run it as ``python -m tools.measure_policy``.
"""

from itertools import chain

from .policy.experiments import compare_choice, compare_order, compare_owner
from .policy.neighbour import measure_neighbour
from .policy.rows import format_table
from .policy.unused_quota import measure_unused

__all__ = ('main',)


def main() -> None:
    """Run all comparisons and print their table."""
    comparisons = (
        compare_choice,
        compare_owner,
        compare_order,
        measure_neighbour,
        measure_unused,
    )
    rows = chain.from_iterable(compare() for compare in comparisons)
    print(format_table(rows))  # noqa: WPS421 -- the table is the result


if __name__ == '__main__':
    main()
