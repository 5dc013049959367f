"""Defines the errors of the platform's client."""

from __future__ import annotations

from rosemarydeal.core import CodedError

__all__ = ["PlatformConflict", "PlatformError", "PlatformUnavailable"]


class PlatformError(CodedError):
    """Says that the platform refused a call, which repeating won't mend."""

    code = "platform_refused"


class PlatformConflict(PlatformError):
    """Says that another write came first, so that this one took no effect."""

    code = "platform_conflict"


class PlatformUnavailable(PlatformError):
    """Says that no answer came; a write may or may not have taken effect."""

    code = "platform_unavailable"
