"""Builds a stand-in platform and its clients for tests."""

from __future__ import annotations

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

from features.builders_peers import key_pair, link
from rosemarydeal.core import Address, Place
from rosemarydeal.core.messages import JoinRequest
from rosemarydeal.daemon.objects import WATCHED_PREFIXES
from rosemarydeal.daemon.peer_router import PeerRouter
from rosemarydeal.daemon.records import JoinSettings, RecordsTask
from rosemarydeal.objects import PlatformClient, PlatformSettings
from rosemarydeal.policy import versions
from rosemarydeal.standins.platform import StandInPlatform

__all__ = ["client_of", "records_of", "running_platform"]


@asynccontextmanager
async def running_platform() -> AsyncIterator[StandInPlatform]:
    """Runs a stand-in platform on a free loopback port."""
    platform = StandInPlatform(Address("127.0.0.1", 0))
    await platform.start()
    try:
        yield platform
    finally:
        await platform.stop()


def client_of(platform: StandInPlatform) -> PlatformClient:
    """Builds a client with a practically unlimited call budget."""
    settings = PlatformSettings(platform.address, timeout_s=5.0, calls_per_s=1e6)
    return PlatformClient(settings)


def records_of(client: PlatformClient) -> RecordsTask:
    """Builds the task that watches a platform, for a process without peers."""
    place = Place("wa-perth", "perth-a", "box-office-1")
    state = versions.start(versions.VersionsSettings(), "box-office-1", place, 0.0, 1)
    keys = key_pair()
    peer_router = PeerRouter("box-office-1", link("box-office-1", keys, set()))
    request = JoinRequest(Address("127.0.0.1", 0), keys.public, WATCHED_PREFIXES)
    return RecordsTask(client, state, peer_router, JoinSettings(request, ()))
