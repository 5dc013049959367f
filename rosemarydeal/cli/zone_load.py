"""Checks that the zones that are left can bear the load of a zone taken out."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass

from .errors import CliError, ExitCode
from .nodes import NodeReport, read_all
from .records import read_members, read_upstreams
from .session import Session

__all__ = ["ServiceLoad", "check_zones_left", "loads_without"]

BEARABLE_SHARE = 0.8


@dataclass(frozen=True, slots=True)
class ServiceLoad:
    """Compares a service's load with what is left to bear it.

    Attributes:
        service: Name of the service.
        busy: Requests that run or wait now, in all zones.
        slots: Requests that the upstreams left run at a time.
    """

    service: str
    busy: int
    slots: int

    @property
    def bearable(self) -> bool:
        """Says whether the upstreams that are left can bear the load."""
        return self.slots > 0 and self.busy <= self.slots * BEARABLE_SHARE


async def check_zones_left(session: Session, zones_out: frozenset[str]) -> None:
    """Refuses to leave a service with too few upstreams.

    Args:
        session: The running command's session.
        zones_out: Availability zones that would be out.

    Raises:
        CliError: If the zones that are left can't bear the present load.
    """
    session.output.note("asking every process for its load, 2 s at most for each")
    members = await read_members(session.platform)
    draining = (await read_upstreams(session.platform)).content.names
    reports = await read_all(session.nodes, members)
    short = [
        load
        for load in loads_without(reports, zones_out, draining)
        if not load.bearable
    ]
    if short:
        reasons = "; ".join(
            f"{load.service}: {load.busy} requests, {load.slots} slots left"
            for load in short
        )
        detail = f"what is left can't bear the load: {reasons}; --force overrules"
        raise CliError(ExitCode.REFUSED, detail, "zones_overloaded")


def loads_without(
    reports: Iterable[NodeReport], zones_out: frozenset[str], draining: frozenset[str]
) -> tuple[ServiceLoad, ...]:
    """Returns each service's load and the slots left for it.

    A process that gives no answer counts as fully loaded and as no help.

    Args:
        reports: What the processes say.
        zones_out: Availability zones that would be out.
        draining: Upstreams that get no new work.

    Returns:
        One entry for each service, sorted by name.
    """
    busy: defaultdict[str, int] = defaultdict(int)
    slots: defaultdict[str, int] = defaultdict(int)
    for report in reports:
        member, status = report.member, report.status
        if status is None:
            busy[member.service] += member.slots
            continue
        busy[member.service] += status.running + status.queued
        place = member.place
        out = place.availability_zone in zones_out or place.upstream in draining
        if status.upstream_up and not out:
            slots[member.service] += member.slots
    return tuple(ServiceLoad(name, busy[name], slots[name]) for name in sorted(busy))
