"""Writes the log: one JSON object a line on standard output, never blocking.

Lines are collected and written together. What doesn't fit the buffer while the
reader is slow is dropped, counted, and said in a line of its own.
"""

from __future__ import annotations

import asyncio
import os
import sys

import msgspec
import structlog

__all__ = ["LogSink", "configure"]

MAX_BUFFERED_BYTES = 512 * 1024
FLUSH_PERIOD_S = 0.1
# Lines a second beyond which the ones about single requests are dropped.
MAX_LINES_PER_FLUSH = 400


class LogSink:
    """Buffers lines and writes them without waiting."""

    def __init__(self, descriptor: int) -> None:
        self._descriptor = descriptor
        self._buffer = bytearray()
        self._dropped = 0
        self._lines = 0
        os.set_blocking(descriptor, False)

    def msg(self, message: bytes) -> None:
        """Takes a line; drops it when the buffer is full."""
        self._lines += 1
        full = len(self._buffer) + len(message) > MAX_BUFFERED_BYTES
        if full or self._lines > MAX_LINES_PER_FLUSH:
            self._dropped += 1
            return
        self._buffer += message
        self._buffer += b"\n"

    debug = info = warning = warn = error = critical = exception = msg

    def flush(self) -> None:
        """Writes what the reader takes now."""
        self._lines = 0
        if self._dropped and len(self._buffer) < MAX_BUFFERED_BYTES // 2:
            line = {"event": "log_lines_dropped", "count": self._dropped}
            self._buffer += msgspec.json.encode(line) + b"\n"
            self._dropped = 0
        if not self._buffer:
            return
        try:
            written = os.write(self._descriptor, self._buffer)
        except BlockingIOError:
            return
        except OSError:
            # Nobody reads the log any more; serving goes on without it.
            self._buffer.clear()
            return
        del self._buffer[:written]

    async def run(self) -> None:
        """Flushes at a steady pace until cancelled."""
        while True:
            await asyncio.sleep(FLUSH_PERIOD_S)
            self.flush()


def configure(node: str) -> LogSink:
    """Sets structured logs up for this process.

    Args:
        node: Name of the node, part of each line.

    Returns:
        The sink that has to be flushed.
    """
    sink = LogSink(sys.stdout.fileno())

    def add_node(_logger: object, _method: str, line: dict) -> dict:
        line["node"] = node
        return line

    structlog.configure(
        processors=[
            add_node,
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.format_exc_info,
            _render,
        ],
        wrapper_class=structlog.BoundLogger,
        logger_factory=lambda *_: sink,
        cache_logger_on_first_use=True,
    )
    return sink


def _render(_logger: object, _method: str, line: dict) -> bytes:
    """Turns a line into JSON."""
    return msgspec.json.encode(line, enc_hook=repr)
