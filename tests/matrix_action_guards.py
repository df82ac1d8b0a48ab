"""Guards of connections, actions and stops, each with a test for it.

They are read from the JSON file of the same name, as most rows hold only a
line of code and its replacement.
"""

import json
from pathlib import Path
from typing import Final

__all__ = ('GUARDS',)

_ROWS: Final = json.loads(Path(__file__).with_suffix('.json').read_text())

#: Module path, text of the guard, its replacement, and the test that fails.
GUARDS: Final = tuple(
    (row['path'], row['text'], row['without'], row['test']) for row in _ROWS
)
