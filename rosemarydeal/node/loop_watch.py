"""Logs when the event loop of the process was late.

A process that gets no processor time, or that a call blocks, answers nothing
meanwhile. Its peers and callers see a silence that no other log line explains.
"""

from __future__ import annotations

import asyncio

import structlog

from rosemarydeal.core.clock import now

__all__ = ["watch_loop"]

CHECK_PERIOD_S = 0.1
# Shorter delays are frequent on a busy machine.
MIN_LATE_S = 0.25

_log = structlog.get_logger()


async def watch_loop() -> None:
    """Checks regularly how late the event loop is, until cancelled."""
    while True:
        due_at = now() + CHECK_PERIOD_S
        await asyncio.sleep(CHECK_PERIOD_S)
        late_s = now() - due_at
        if late_s >= MIN_LATE_S:
            _log.warning("event_loop_late", late_s=round(late_s, 3))
