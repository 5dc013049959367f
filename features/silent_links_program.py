"""Runs the process beside an upstream; SIGUSR1 silences its open links to peers."""

from __future__ import annotations

import sys

from features.builders_silent_links import silence_at_signal
from rosemarydeal.node.main import main

if __name__ == "__main__":
    silence_at_signal()
    sys.exit(main())
