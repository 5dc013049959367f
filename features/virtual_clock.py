"""An event loop whose time passes only while nothing is left to run."""

from __future__ import annotations

import asyncio
import selectors

__all__ = ["VirtualClockLoop"]


class _Selector(selectors.SelectSelector):
    """Lets the time of a loop pass instead of waiting."""

    def __init__(self, loop):
        super().__init__()
        self._loop = loop

    def select(self, timeout=None):
        assert timeout is not None, "nothing is left that could happen"
        self._loop.elapsed_s += max(0.0, timeout)
        return super().select(0)


class VirtualClockLoop(asyncio.SelectorEventLoop):
    """Runs timers in their order, without waiting for them."""

    def __init__(self):
        self.elapsed_s = 1_000.0
        super().__init__(_Selector(self))

    def time(self):
        return self.elapsed_s
