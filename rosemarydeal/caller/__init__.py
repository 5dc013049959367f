"""Client library for callers of a service."""

from .call import Call, Reply
from .client import Caller
from .settings import CallerSettings

__all__ = ["Call", "Caller", "CallerSettings", "Reply"]
