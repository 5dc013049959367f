"""Reads the clock that leases are measured with."""

from __future__ import annotations

import time

__all__ = ["now"]


def now() -> float:
    """Returns seconds on a clock that also counts while the VM is suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)
