"""Exit codes of the command line."""

from enum import IntEnum, unique
from typing import Final

__all__ = ('EXIT_CODES_HELP', 'ExitCode')


@unique
class ExitCode(IntEnum):
    """What the command line tells the shell."""

    DONE = 0
    NOT_KEPT = 1
    BAD_INPUT = 2
    NOT_RUN = 3
    MAY_HAVE_RUN = 4
    UNREACHABLE = 5
    PARTIAL = 6


#: For the end of the help text and the docs.
EXIT_CODES_HELP: Final = (
    'Exit codes: 0 done; 1 a contract is not kept or daemons do not answer; '
    '2 bad input; 3 refused and certainly not run; 4 may have run; '
    '5 nobody could be reached and nothing was sent; 6 a partial answer.'
)
