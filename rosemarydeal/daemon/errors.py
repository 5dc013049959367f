"""Defines the errors of the process beside an upstream."""

from __future__ import annotations

from rosemarydeal.core import CodedError

__all__ = ["DaemonError"]


class DaemonError(CodedError):
    """Raised when the process cannot be set up or cannot continue."""

    code = "daemon"
