"""Checks whether services have enough capacity without some availability zones."""

from __future__ import annotations

from collections.abc import Iterable

from rosemarydeal.policy.fleet import FleetView
from rosemarydeal.policy.zones import ZoneSettings, ZoneVerdict, judge_zones_out

from .errors import CliError, ExitCode
from .nodes import NodeReport, read_reports
from .records import read_members, read_upstreams
from .session import Session

__all__ = ["check_remaining_capacity", "evaluate_services"]


async def check_remaining_capacity(
    session: Session, zones_out: frozenset[str], forced: bool
) -> None:
    """Raises if a service would be left with too little capacity.

    Args:
        session: The running command's session.
        zones_out: Availability zones that would be out.
        forced: Whether the operator overrides the load check.

    Raises:
        CliError: If the policy does not allow the change.
    """
    session.output.print_message("querying the load of every process, at most 2 s each")
    members = await read_members(session.platform)
    draining = (await read_upstreams(session.platform)).content.names
    reports = await read_reports(session.nodes, members)
    verdicts = evaluate_services(reports, zones_out, draining, forced)
    for verdict in verdicts:
        if verdict.detail:
            session.output.print_message(verdict.detail)
    refused = [verdict for verdict in verdicts if not verdict.allowed]
    if refused:
        detail = "; ".join(verdict.detail for verdict in refused)
        raise CliError(ExitCode.REFUSED, detail, refused[0].code)


def evaluate_services(
    reports: Iterable[NodeReport],
    zones_out: frozenset[str],
    draining: frozenset[str],
    forced: bool,
) -> tuple[ZoneVerdict, ...]:
    """Evaluates for each service whether zones may be out.

    A process that does not answer counts as fully loaded and adds no capacity.
    If no process of a service answers, its load is unknown.

    Args:
        reports: Status of the processes.
        zones_out: Availability zones that would be out.
        draining: Upstreams that receive no new work.
        forced: Whether the operator overrides the load check.

    Returns:
        One verdict for each service that has members, sorted by service.
    """
    by_service: dict[str, list[NodeReport]] = {}
    for report in reports:
        by_service.setdefault(report.member.service, []).append(report)
    return tuple(
        judge_zones_out(
            _remaining_view(service, service_reports, zones_out, draining),
            _busy_slots(service_reports),
            forced,
            ZoneSettings(),
        )
        for service, service_reports in sorted(by_service.items())
    )


def _remaining_view(
    service: str,
    reports: list[NodeReport],
    zones_out: frozenset[str],
    draining: frozenset[str],
) -> FleetView:
    """Returns the service with only the members that can take over load.

    If no process answers, the fault may be in the operator's own network, so all
    members count.
    """
    if _busy_slots(reports) is None:
        members = tuple(report.member for report in reports)
        return FleetView(service, 0, members, {}, "", out_zones=zones_out)
    available = tuple(
        report.member
        for report in reports
        if report.status is not None
        and report.status.upstream_up
        and report.member.place.upstream not in draining
    )
    return FleetView(service, 0, available, {}, "", out_zones=zones_out)


def _busy_slots(reports: list[NodeReport]) -> float | None:
    """Returns the number of busy slots of a service, None if no process answers."""
    if all(report.status is None for report in reports):
        return None
    return float(sum(map(_busy_slots_at, reports)))


def _busy_slots_at(report: NodeReport) -> int:
    """Returns the requests at one process; all its slots if it does not answer."""
    if report.status is None:
        return report.member.slots
    return report.status.running + report.status.queued
