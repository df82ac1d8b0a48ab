"""An event loop whose clock jumps to the next timer."""

import asyncio
import selectors
from typing import final

__all__ = ('VirtualTimeLoop', 'run_on_virtual_time')


@final
class _JumpingSelector(selectors.SelectSelector):
    """Advances the clock of a loop by the time that it would wait."""

    def __init__(self):
        super().__init__()
        self.now_s = 0.0

    def select(self, timeout=None):
        self.now_s += max(0, timeout or 0)
        return super().select(0)


@final
class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """Runs timers without waiting; nothing outside the loop may be awaited."""

    def __init__(self):
        self._clock = _JumpingSelector()
        super().__init__(self._clock)

    def time(self):
        return self._clock.now_s


def run_on_virtual_time(main):
    """Run a coroutine function that takes the clock, in s."""
    with asyncio.Runner(loop_factory=VirtualTimeLoop) as runner:
        return runner.run(main(runner.get_loop().time))
