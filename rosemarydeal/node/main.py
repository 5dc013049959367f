"""Starts the process beside an upstream on an operator's platform.

Imports little: until the other modules are loaded, only what is set here is in force.
"""

from __future__ import annotations

import signal
import sys

__all__ = ["main"]


def main() -> int:
    """Runs until SIGTERM; returns the exit code."""
    # The settings may change at any time, and by default SIGHUP ends a process.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    from .program import run

    return run()


if __name__ == "__main__":
    sys.exit(main())
