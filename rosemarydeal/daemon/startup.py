"""Derives the initial settings and states of a process's tasks from its node file."""

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
    """Returns the name of a seed at the peer router."""
    return f"seed/{position}"


def join_settings(settings: NodeSettings) -> JoinSettings:
    """Returns the settings for joining through the seeds, as in a platform outage."""
    request = JoinRequest(settings.peer, settings.public_key, WATCHED_PREFIXES)
    seeds = tuple(seed_name(position) for position in range(len(settings.seeds)))
    return JoinSettings(request, seeds)


def versions_state(settings: NodeSettings) -> versions.VersionsState:
    """Returns the initial state of the versions policy, without objects."""
    return versions.start(
        versions.VersionsSettings(),
        settings.node,
        settings.place,
        now(),
        secrets.randbits(64),
    )


def link_settings(settings: NodeSettings) -> PeerLinkSettings:
    """Returns the settings of the peer link."""
    return PeerLinkSettings(
        settings.node,
        settings.peer,
        settings.public_key,
        settings.secret_key,
        frozenset({*settings.peer_keys, settings.public_key}),
    )
