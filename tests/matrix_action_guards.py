"""Guards of connections, actions and stops, each with a test that sees it.

They stand in a file of data beside this one, as most are a line of code and
the line that takes it out.
"""

import json
from pathlib import Path
from typing import Final

__all__ = ('GUARDS',)

_ROWS: Final = json.loads(Path(__file__).with_suffix('.json').read_text())

#: Module, the guard in it, what stands there without it, and the test.
GUARDS: Final = tuple(
    (row['path'], row['text'], row['without'], row['test']) for row in _ROWS
)
