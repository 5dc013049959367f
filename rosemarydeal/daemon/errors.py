"""Defines the errors of the process beside an upstream."""

from __future__ import annotations

from rosemarydeal.core import CodedError

__all__ = ["DaemonError"]


class DaemonError(CodedError):
    """Says that the process can't be set up or can't go on."""

    code = "daemon"
