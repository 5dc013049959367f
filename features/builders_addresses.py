"""Loopback addresses of VMs, so that test runs side by side do not collide."""

from __future__ import annotations

import os

BLOCKS = 250


def a_loopback_host(number):
    """Returns the address of a VM of this test run.

    Args:
        number: Number of the VM, from 1 to 254.
    """
    block = os.getpid()
    return f"127.{64 + block // BLOCKS % 64}.{block % BLOCKS}.{number}"
