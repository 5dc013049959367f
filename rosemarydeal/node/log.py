"""Writes the log: one JSON object per line on standard output, without blocking.

Lines are buffered and written together. Lines that do not fit the buffer while
the reader is slow are dropped and counted; a later line reports the count.
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
# Further lines between two flushes are dropped.
MAX_LINES_PER_FLUSH = 400


class LogSink:
    """Buffers lines and writes them without blocking."""

    def __init__(self, descriptor: int) -> None:
        self._descriptor = descriptor
        self._buffer = bytearray()
        self._dropped = 0
        self._lines = 0
        self._written = asyncio.Event()
        os.set_blocking(descriptor, False)

    def msg(self, message: bytes) -> None:
        """Buffers a line; drops it if the buffer or the limit of lines is full."""
        self._lines += 1
        full = len(self._buffer) + len(message) > MAX_BUFFERED_BYTES
        if full or self._lines > MAX_LINES_PER_FLUSH:
            self._dropped += 1
            return
        self._buffer += message
        self._buffer += b"\n"
        self._written.set()

    debug = info = warning = warn = error = critical = exception = msg

    def flush(self) -> None:
        """Writes as much of the buffer as the reader accepts now."""
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
            # The reader has closed the log; the process continues without it.
            self._buffer.clear()
            return
        del self._buffer[:written]

    async def run(self) -> None:
        """Flushes soon after each line until cancelled."""
        while True:
            await self._written.wait()
            await asyncio.sleep(FLUSH_PERIOD_S)
            self._written.clear()
            self.flush()
            if self._buffer or self._dropped:
                # The reader is slow; the rest is written later.
                self._written.set()


def configure(node: str) -> LogSink:
    """Sets up structured logging for this process.

    Args:
        node: Name of the node, added to each line.

    Returns:
        The sink, which the caller has to flush.
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
    """Encodes a line as JSON."""
    return msgspec.json.encode(line, enc_hook=repr)
