"""Queries about processes, slices and keys; they change nothing."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from rosemarydeal.core import (
    Address,
    Incarnation,
    Member,
    OperatorUpstreams,
    OperatorZones,
    Row,
    SliceId,
    SliceStatus,
    chunk_of,
    slice_of,
)

from .errors import CliError, ExitCode
from .nodes import NodeReport, NodeUnreachable, read_reports
from .records import (
    read_chunk,
    read_chunks,
    read_config,
    read_members,
    read_settings,
    read_upstreams,
    read_zones,
)
from .session import Session

__all__ = [
    "FleetStatus",
    "KeyLocation",
    "SliceLine",
    "list_slices",
    "locate_key",
    "locate_key_at",
    "read_fleet",
    "read_node",
]


@dataclass(frozen=True, slots=True)
class FleetStatus:
    """State of the deployment at one moment.

    Attributes:
        config_version: Version of the configuration in the platform.
        config_operator: Operator who applied it.
        zones: Availability zones that operators have taken out.
        upstreams: Upstreams that operators drain.
        nodes: One report for each member.
    """

    config_version: int
    config_operator: str
    zones: OperatorZones
    upstreams: OperatorUpstreams
    nodes: tuple[NodeReport, ...]


@dataclass(frozen=True, slots=True)
class KeyLocation:
    """Owner of a key, with the reason.

    Attributes:
        service: Service of the key.
        key: The key.
        slice: Slice that the key belongs to.
        version: Version of the slice's row in the platform, 0 if there is none.
        succession: The owner first, then its successors in order.
        retiring: Incarnations that may still own the slice under an older row.
        answer: Answer of the owner, else the first answer, None if none answered.
        reason: Why the key is served there, or why it is not served.
    """

    service: str
    key: str
    slice: SliceId
    version: int
    succession: tuple[Incarnation, ...]
    retiring: tuple[Incarnation, ...]
    answer: SliceStatus | None
    reason: str


@dataclass(frozen=True, slots=True)
class SliceLine:
    """Row of one slice."""

    slice: SliceId
    version: int
    owner: str
    successors: tuple[str, ...]
    retiring: tuple[str, ...]


async def read_fleet(session: Session) -> FleetStatus:
    """Reads the platform's records and queries every member.

    Raises:
        CliError: If the platform can't be read.
    """
    current = await read_config(session.platform)
    zones = await read_zones(session.platform)
    upstreams = await read_upstreams(session.platform)
    members = await read_members(session.platform)
    return FleetStatus(
        config_version=current.version,
        config_operator=current.envelope.operator if current.envelope else "",
        zones=zones.content,
        upstreams=upstreams.content,
        nodes=await read_reports(session.nodes, members),
    )


async def read_node(session: Session, admin: Address) -> NodeReport:
    """Queries one process, without the platform.

    Raises:
        CliError: If the process does not answer.
    """
    try:
        status = await session.nodes.status(admin)
    except NodeUnreachable as error:
        raise CliError(ExitCode.NO_ANSWER, error.detail) from error
    return NodeReport(None, status)


async def locate_key(session: Session, service: str, key: str) -> KeyLocation:
    """Looks up the owner of a key in the platform and queries it.

    Args:
        session: The running command's session.
        service: Name of a keyed service.
        key: The key.

    Returns:
        The owner of the key, with the reason.

    Raises:
        CliError: If there is no such keyed service or the platform can't be read.
    """
    _, settings = await read_settings(session.platform)
    service_settings = settings.services.get(service)
    if service_settings is None:
        raise CliError(ExitCode.NOT_FOUND, f"there is no service {service}")
    if not service_settings.keyed:
        raise CliError(ExitCode.NOT_FOUND, f"{service} is unkeyed: keys have no owner")
    base_slice = slice_of(service, key, service_settings.slices)
    chunk = await read_chunk(session.platform, service, chunk_of(base_slice))
    rows = {row.slice: row for row in chunk.rows} if chunk else {}
    key_row = rows.get(slice_of(service, key, service_settings.slices, rows)) or Row(
        base_slice, 0, ()
    )
    return await _key_location(session, key, key_row)


async def locate_key_at(
    session: Session, admin: Address, service: str, key: str
) -> SliceStatus:
    """Queries one process for the owner of a key, without the platform.

    Raises:
        CliError: If the process does not answer.
    """
    try:
        return await session.nodes.locate(admin, service, key)
    except NodeUnreachable as error:
        raise CliError(ExitCode.NO_ANSWER, error.detail) from error


async def _key_location(session: Session, key: str, row: Row) -> KeyLocation:
    """Combines a slice's row with the answer of its owner's process."""
    members = await read_members(session.platform)
    answer, reason = await _find_owner(session, members, row, key)
    return KeyLocation(
        service=row.slice.service,
        key=key,
        slice=row.slice,
        version=row.version,
        succession=row.succession,
        retiring=row.retiring,
        answer=answer,
        reason=reason,
    )


async def _find_owner(
    session: Session, members: Iterable[Member], row: Row, key: str
) -> tuple[SliceStatus | None, str]:
    """Queries the succession in order until one owns the slice."""
    if row.owner is None:
        return None, "no owner was ever assigned to this slice"
    by_node = {member.node: member for member in members}
    reasons = []
    first_answer: SliceStatus | None = None
    for candidate in row.succession:
        member = by_node.get(candidate.node)
        if member is None:
            reasons.append(f"{candidate} is not a member")
            continue
        try:
            answer = await session.nodes.locate(member.admin, row.slice.service, key)
        except NodeUnreachable as error:
            reasons.append(f"{candidate} does not answer ({error.detail})")
            continue
        first_answer = first_answer or answer
        if answer.owned_here:
            return answer, "; ".join(
                [*reasons, _ownership_reason(candidate, row, answer)]
            )
        reasons.append(f"{candidate} does not own it: {answer.reason or 'no reason'}")
    return first_answer, "; ".join(reasons)


def _ownership_reason(candidate: Incarnation, row: Row, answer: SliceStatus) -> str:
    """Returns why a process owns a slice."""
    position = "first in row" if candidate == row.owner else "successor of a lost owner"
    return f"{candidate} owns it, {position}; {answer.reason or 'its lease is valid'}"


async def list_slices(
    session: Session, service: str, node: str
) -> tuple[SliceLine, ...]:
    """Lists the rows of keyed services.

    Args:
        session: The running command's session.
        service: Name of one service, or empty for all keyed services.
        node: Lists only slices whose row names this process as owner; empty for all.

    Returns:
        One line for each slice.

    Raises:
        CliError: If there is no such service or the platform can't be read.
    """
    _, settings = await read_settings(session.platform)
    if service and service not in settings.services:
        raise CliError(ExitCode.NOT_FOUND, f"there is no service {service}")
    services = [service] if service else sorted(settings.services)
    lines = [
        _slice_line(row)
        for name in services
        for chunk in await read_chunks(session.platform, name)
        for row in chunk.rows
    ]
    return tuple(line for line in lines if not node or _node_name(line.owner) == node)


def _node_name(incarnation: str) -> str:
    """Returns the node name of an incarnation in text form."""
    return incarnation.rpartition("#")[0]


def _slice_line(row: Row) -> SliceLine:
    """Builds the list entry of one row."""
    return SliceLine(
        slice=row.slice,
        version=row.version,
        owner=str(row.owner or ""),
        successors=tuple(map(str, row.succession[1:])),
        retiring=tuple(map(str, row.retiring)),
    )
