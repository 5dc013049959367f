"""Derives from a node file what the tasks of a process start with."""

from __future__ import annotations

import secrets

from rosemarydeal.core.clock import now
from rosemarydeal.core.messages import JoinRequest
from rosemarydeal.peers import PeerLinkSettings
from rosemarydeal.policy import versions
from rosemarydeal.settings import NodeSettings

from .objects import WATCHED_PREFIXES
from .records import JoinSettings

__all__ = ["join_settings", "link_settings", "seed_name", "versions_state"]


def seed_name(position: int) -> str:
    """Returns the name under which a seed is addressed."""
    return f"seed/{position}"


def join_settings(settings: NodeSettings) -> JoinSettings:
    """Returns how the process gets to know its peers during an outage."""
    request = JoinRequest(settings.peer, settings.public_key, WATCHED_PREFIXES)
    seeds = tuple(seed_name(position) for position in range(len(settings.seeds)))
    return JoinSettings(request, seeds)


def versions_state(settings: NodeSettings) -> versions.VersionsState:
    """Returns the state of a process that knows no object yet."""
    return versions.start(
        versions.VersionsSettings(),
        settings.node,
        settings.place,
        now(),
        secrets.randbits(64),
    )


def link_settings(settings: NodeSettings) -> PeerLinkSettings:
    """Returns the settings of the link to peers."""
    return PeerLinkSettings(
        settings.node,
        settings.peer,
        settings.public_key,
        settings.secret_key,
        frozenset({*settings.peer_keys, settings.public_key}),
    )
