"""Sets up structured logs: one JSON object per line on standard output."""

from __future__ import annotations

import logging
import sys
from typing import TextIO

import structlog

__all__ = ["configure"]


def configure(level: str, stream: TextIO = sys.stdout) -> None:
    """Configures the logs of the process.

    Args:
        level: Lowest level that is written, such as `info`.
        stream: Stream to write to.
    """
    numeric = logging.getLevelNamesMapping()[level.upper()]
    structlog.configure(
        processors=[
            structlog.contextvars.merge_contextvars,
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.format_exc_info,
            structlog.processors.JSONRenderer(),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(numeric),
        logger_factory=structlog.PrintLoggerFactory(stream),
        cache_logger_on_first_use=False,
    )
