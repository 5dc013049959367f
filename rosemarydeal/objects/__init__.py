"""Client of the platform's object API."""

from .budget import CallBudget
from .client import PlatformClient, PlatformSettings
from .errors import PlatformConflict, PlatformError, PlatformUnavailable
from .interface import Changes, Platform

__all__ = [
    "CallBudget",
    "Changes",
    "Platform",
    "PlatformClient",
    "PlatformConflict",
    "PlatformError",
    "PlatformSettings",
    "PlatformUnavailable",
]
