"""Builds a stand-in platform with clients for tests."""

from __future__ import annotations

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

from rosemarydeal.core import Address
from rosemarydeal.platform import PlatformClient, PlatformSettings
from rosemarydeal.standins.platform import StandInPlatform

__all__ = ["client_of", "running_platform"]


@asynccontextmanager
async def running_platform() -> AsyncIterator[StandInPlatform]:
    """Runs a platform on a free port of loopback."""
    platform = StandInPlatform(Address("127.0.0.1", 0))
    await platform.start()
    try:
        yield platform
    finally:
        await platform.stop()


def client_of(platform: StandInPlatform) -> PlatformClient:
    """Builds a client without a tight budget."""
    settings = PlatformSettings(platform.address, timeout_s=5.0, calls_per_s=1e6)
    return PlatformClient(settings)
