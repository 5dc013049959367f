"""Typed reads of the platform's objects for queries and commands."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Generic, TypeVar

import msgspec

from rosemarydeal.core import (
    CONFIG_KEY,
    UPSTREAMS_KEY,
    ZONES_KEY,
    Chunk,
    Member,
    MemberPhase,
    OperatorUpstreams,
    OperatorZones,
    history_key,
)
from rosemarydeal.objects import Platform, PlatformError
from rosemarydeal.settings import (
    ConfigEnvelope,
    DeploymentSettings,
    HistoryEntry,
    load_envelope,
)

from .errors import CliError, ExitCode

__all__ = [
    "CurrentConfig",
    "Record",
    "read_chunk",
    "read_chunks",
    "read_config",
    "read_history",
    "read_members",
    "read_settings",
    "read_upstreams",
    "read_zones",
    "platform_unavailable",
]

MEMBERS_PREFIX = "members/"
SLICES_PREFIX = "slices/"
ACTIVE_PHASES = frozenset({MemberPhase.UP, MemberPhase.DRAINING})

Content = TypeVar("Content")


@dataclass(frozen=True, slots=True)
class Record(Generic[Content]):
    """Content and version of an object; version 0 if it does not exist."""

    version: int
    content: Content


@dataclass(frozen=True, slots=True)
class CurrentConfig:
    """Configuration in force; version 0 if none was applied yet."""

    version: int
    envelope: ConfigEnvelope | None


def platform_unavailable(error: PlatformError) -> CliError:
    """Returns the command line's error for a failed read of the platform."""
    detail = f"reading from the platform failed: {error.detail}"
    return CliError(ExitCode.PLATFORM_UNAVAILABLE, detail)


def _decode(key: str, value: bytes, expected: type[Content]) -> Content:
    """Decodes the content of an object."""
    try:
        return msgspec.json.decode(value, type=expected)
    except msgspec.DecodeError as error:
        detail = f"the object {key} can't be decoded: {error}"
        raise CliError(ExitCode.FAILED, detail, "bad_object") from error


async def _read(
    platform: Platform, key: str, expected: type[Content], default: Content
) -> Record[Content]:
    """Reads one object; returns the default if it does not exist."""
    try:
        stored = await platform.get(key)
    except PlatformError as error:
        raise platform_unavailable(error) from error
    if stored is None:
        return Record(0, default)
    return Record(stored.version, _decode(key, stored.value, expected))


async def _list(
    platform: Platform, prefix: str, expected: type[Content]
) -> tuple[Content, ...]:
    """Reads all objects under a prefix."""
    try:
        stored = await platform.list(prefix)
    except PlatformError as error:
        raise platform_unavailable(error) from error
    return tuple(_decode(item.key, item.value, expected) for item in stored)


async def read_config(platform: Platform) -> CurrentConfig:
    """Reads the configuration in force without parsing its text.

    Raises:
        CliError: If the platform can't be read or the object is malformed.
    """
    record = await _read(platform, CONFIG_KEY, ConfigEnvelope, None)
    return CurrentConfig(record.version, record.content)


async def read_settings(platform: Platform) -> tuple[int, DeploymentSettings]:
    """Reads the configuration in force and decodes its settings.

    Returns:
        Version and settings.

    Raises:
        CliError: If there is no configuration, or it can't be read or decoded.
    """
    current = await read_config(platform)
    if current.envelope is None:
        raise CliError(ExitCode.NOT_FOUND, "no configuration has been applied yet")
    settings, problems = load_envelope(current.envelope)
    if settings is None:
        detail = f"version {current.version} is invalid in this release: {problems[0]}"
        raise CliError(ExitCode.SETTINGS_WRONG, detail)
    return current.version, settings


async def read_history(platform: Platform, version: int) -> HistoryEntry | None:
    """Reads a version from the history; returns None if it is not stored there."""
    record = await _read(platform, history_key(version), HistoryEntry, None)
    entry = record.content
    return entry if entry is not None and entry.version == version else None


async def read_members(platform: Platform) -> tuple[Member, ...]:
    """Reads the members that are up or draining, sorted by name."""
    members = await _list(platform, MEMBERS_PREFIX, Member)
    active = (member for member in members if member.phase in ACTIVE_PHASES)
    return tuple(sorted(active, key=lambda member: member.node))


async def read_zones(platform: Platform) -> Record[OperatorZones]:
    """Reads the availability zones that operators have taken out."""
    return await _read(platform, ZONES_KEY, OperatorZones, OperatorZones())


async def read_upstreams(platform: Platform) -> Record[OperatorUpstreams]:
    """Reads the upstreams that operators drain."""
    return await _read(platform, UPSTREAMS_KEY, OperatorUpstreams, OperatorUpstreams())


async def read_chunk(platform: Platform, service: str, number: int) -> Chunk | None:
    """Reads one chunk of slice rows; returns None if it does not exist yet."""
    key = f"{SLICES_PREFIX}{service}/{number}"
    return (await _read(platform, key, Chunk, None)).content


async def read_chunks(platform: Platform, service: str) -> tuple[Chunk, ...]:
    """Reads all chunks of a service, ordered by number."""
    chunks = await _list(platform, f"{SLICES_PREFIX}{service}/", Chunk)
    return tuple(sorted(chunks, key=lambda chunk: chunk.number))
