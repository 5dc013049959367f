"""Takes availability zones out, drains upstreams, and reverts both.

Two objects list the zones that are out and the upstreams that drain. Operators
may change different entries at the same time: on a write conflict the command
reads, checks and writes again. A concurrent change of the same entry is an error.
"""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from dataclasses import dataclass, replace
from typing import TypeVar

import msgspec

from rosemarydeal.core import (
    UPSTREAMS_KEY,
    ZONES_KEY,
    OperatorUpstreams,
    OperatorZones,
    UpstreamDrain,
    ZoneOut,
)
from rosemarydeal.objects import PlatformConflict

from .errors import CliError, ExitCode
from .records import (
    Record,
    read_members,
    read_settings,
    read_upstreams,
    read_zones,
)
from .rollout import wait_until_in_force
from .session import Session
from .writes import write

__all__ = [
    "EntryOptions",
    "drain_upstream",
    "return_upstream",
    "return_zone",
    "take_zone_out",
]

WRITE_ATTEMPTS_MAX = 10

Listing = TypeVar("Listing", OperatorZones, OperatorUpstreams)
ZoneCheck = Callable[[Session, frozenset[str], bool], Awaitable[None]]


@dataclass(frozen=True, slots=True)
class EntryOptions:
    """Options of a change of one entry.

    Attributes:
        comment: Reason for the change.
        wait_s: Longest wait until it is in force everywhere, in seconds.
        force: Whether the load check is overridden.
    """

    comment: str
    wait_s: float
    force: bool = False


async def take_zone_out(
    session: Session, zone: str, options: EntryOptions, check: ZoneCheck
) -> None:
    """Takes an availability zone out, so that it receives no new work.

    Args:
        session: The running command's session.
        zone: Name of the zone.
        options: Options of the change.
        check: Raises if the remaining zones can't carry the load.

    Raises:
        CliError: If there is no such zone, the check fails, another operator
            changed the same entry, or the change isn't in force in time.
    """
    await _check_zone_exists(session, zone)

    async def change(listing: OperatorZones) -> OperatorZones:
        if zone in listing.names:
            return listing
        await check(session, listing.names | {zone}, options.force)
        entry = ZoneOut(
            availability_zone=zone,
            operator=session.operator,
            time=session.now(),
            forced=options.force,
            comment=options.comment,
        )
        return replace(listing, out=(*listing.out, entry))

    await _change_zones(session, zone, change, options.wait_s)


async def return_zone(session: Session, zone: str, options: EntryOptions) -> None:
    """Brings an availability zone back.

    Raises:
        CliError: As for `take_zone_out`.
    """
    await _check_zone_exists(session, zone)

    async def change(listing: OperatorZones) -> OperatorZones:
        remaining = tuple(
            item for item in listing.out if item.availability_zone != zone
        )
        return replace(listing, out=remaining)

    await _change_zones(session, zone, change, options.wait_s)


async def drain_upstream(
    session: Session, upstream: str, options: EntryOptions
) -> None:
    """Drains an upstream: it receives no new work and hands over its slices.

    Raises:
        CliError: If there is no such upstream, another operator changed the
            same entry, or the change isn't in force in time.
    """
    await _check_upstream_exists(session, upstream)

    async def change(listing: OperatorUpstreams) -> OperatorUpstreams:
        if upstream in listing.names:
            return listing
        entry = UpstreamDrain(
            upstream, session.operator, session.now(), options.comment
        )
        return replace(listing, draining=(*listing.draining, entry))

    await _change_upstreams(session, upstream, change, options.wait_s)


async def return_upstream(
    session: Session, upstream: str, options: EntryOptions
) -> None:
    """Ends the drain of an upstream, even if no member serves it any more.

    Raises:
        CliError: As for `drain_upstream`.
    """
    listing = await read_upstreams(session.platform)
    if upstream not in listing.content.names:
        await _check_upstream_exists(session, upstream)

    async def change(listing: OperatorUpstreams) -> OperatorUpstreams:
        remaining = tuple(
            item for item in listing.draining if item.upstream != upstream
        )
        return replace(listing, draining=remaining)

    await _change_upstreams(session, upstream, change, options.wait_s)


async def _check_zone_exists(session: Session, zone: str) -> None:
    """Raises if the settings do not have the availability zone."""
    _, settings = await read_settings(session.platform)
    if zone not in settings.availability_zones:
        names = ", ".join(settings.availability_zones)
        detail = f"there is no availability zone {zone}; known zones: {names}"
        raise CliError(ExitCode.NOT_FOUND, detail)


async def _check_upstream_exists(session: Session, upstream: str) -> None:
    """Raises if no member serves the upstream."""
    members = await read_members(session.platform)
    if upstream not in {member.place.upstream for member in members}:
        raise CliError(ExitCode.NOT_FOUND, f"there is no upstream {upstream}")


async def _change_zones(
    session: Session,
    zone: str,
    change: Callable[[OperatorZones], Awaitable[OperatorZones]],
    wait_s: float,
) -> None:
    """Changes the list of zones that are out and waits until it is in force."""
    version = await _change_listing(
        session, ZONES_KEY, zone, lambda: read_zones(session.platform), change
    )
    await wait_until_in_force(session, ZONES_KEY, version, wait_s)


async def _change_upstreams(
    session: Session,
    upstream: str,
    change: Callable[[OperatorUpstreams], Awaitable[OperatorUpstreams]],
    wait_s: float,
) -> None:
    """Changes the list of draining upstreams and waits until it is in force."""
    version = await _change_listing(
        session,
        UPSTREAMS_KEY,
        upstream,
        lambda: read_upstreams(session.platform),
        change,
    )
    await wait_until_in_force(session, UPSTREAMS_KEY, version, wait_s)


async def _change_listing(
    session: Session,
    key: str,
    name: str,
    read: Callable[[], Awaitable[Record[Listing]]],
    change: Callable[[Listing], Awaitable[Listing]],
) -> int:
    """Changes one entry of a listing; retries after changes of other entries.

    Args:
        session: The running command's session.
        key: Key of the listing's object.
        name: Name of the entry.
        read: Reads the listing.
        change: Returns the listing with the entry added or removed.

    Returns:
        The version that contains the change.

    Raises:
        CliError: If another operator changed the same entry, or there were too many
            conflicts.
    """
    record = await read()
    was_listed = name in record.content.names
    for _ in range(WRITE_ATTEMPTS_MAX):
        changed = await change(record.content)
        if changed == record.content:
            session.output.print_message(f"nothing to change for {name}")
            return record.version
        try:
            return await _write_listing(session, key, record, changed, read)
        except PlatformConflict:
            record = await read()
        if (name in record.content.names) != was_listed:
            detail = f"another operator changed {name} at the same time"
            raise CliError(ExitCode.CONFLICT, f"{detail}; see `rosemarydeal status`")
        session.output.print_message("another operator changed the list; trying again")
    raise CliError(ExitCode.CONFLICT, f"{name}: too many concurrent changes")


async def _write_listing(
    session: Session,
    key: str,
    record: Record[Listing],
    changed: Listing,
    read: Callable[[], Awaitable[Record[Listing]]],
) -> int:
    """Writes a listing, without retry on conflict."""
    change_id = session.new_change_id()
    value = msgspec.json.encode(replace(changed, change_id=change_id))

    async def find_change() -> int | None:
        latest = await read()
        return latest.version if latest.content.change_id == change_id else None

    version = await write(session, key, value, record.version, change_id, find_change)
    session.output.print_message(f"accepted as version {version}")
    return version
