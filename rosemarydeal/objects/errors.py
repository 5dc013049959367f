"""Defines the errors of the platform client."""

from __future__ import annotations

from rosemarydeal.core import CodedError

__all__ = ["PlatformConflict", "PlatformError", "PlatformUnavailable"]


class PlatformError(CodedError):
    """The platform rejected a call; repeating it does not help."""

    code = "platform_refused"


class PlatformConflict(PlatformError):
    """Another write came first, so this one took no effect."""

    code = "platform_conflict"


class PlatformUnavailable(PlatformError):
    """No usable response arrived; a write may or may not have taken effect."""

    code = "platform_unavailable"
