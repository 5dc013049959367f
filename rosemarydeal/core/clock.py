"""The clock that measures leases."""

from __future__ import annotations

import time

__all__ = ["now"]


def now() -> float:
    """Returns the seconds of a clock that keeps counting while the VM is suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)
