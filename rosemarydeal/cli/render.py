"""Formats the results of queries as text for people."""

from __future__ import annotations

from rosemarydeal.core import CONFIG_KEY, NodeStatus, SliceStatus

from .config_queries import Difference, ExplainedLine, HistoryLine
from .fleet_queries import FleetStatus, KeyLocation, SliceLine
from .nodes import NodeReport
from .output import format_table

__all__ = [
    "difference",
    "explanation",
    "fleet",
    "history",
    "location",
    "node_status",
    "slice_status",
    "slices",
]


def difference(result: Difference) -> str:
    """Formats what a file would change."""
    if result.equal:
        return f"equal to version {result.version}"
    lines = [result.text] if result.text else []
    lines += [
        f"{change.path}: {change.old or '(none)'} -> {change.new or '(none)'}"
        for change in result.changes
    ]
    lines += [f"UNSAFE {problem}" for problem in result.unsafe]
    lines.append(
        f"against version {result.version}: apply with --base {result.version}"
    )
    return "\n".join(lines)


def history(result: tuple[HistoryLine, ...]) -> str:
    """Formats the versions of the configuration."""
    headings = ("VERSION", "TIME", "OPERATOR", "FILE", "COMMENT")
    rows = [
        (item.version, item.applied_at, item.operator, item.file, item.comment)
        for item in result
    ]
    return format_table(headings, rows)


def explanation(result: tuple[ExplainedLine, ...]) -> str:
    """Formats where each effective value comes from."""
    headings = ("SERVICE", "SETTING", "VALUE", "FROM", "BRANCH")
    rows = [
        (
            item.service,
            item.setting,
            item.value,
            f"{item.file}:{item.line}" if item.file else "-",
            item.branch,
        )
        for item in result
    ]
    return format_table(headings, rows)


def fleet(result: FleetStatus) -> str:
    """Formats the deployment and each process."""
    lines = [f"configuration: version {result.config_version} {result.config_operator}"]
    lines += [
        f"availability zone out: {zone.availability_zone}, by {zone.operator} at "
        f"{zone.time}{', forced' if zone.forced else ''} {zone.comment}".rstrip()
        for zone in result.zones.out
    ]
    lines += [
        f"upstream draining: {item.upstream}, by {item.operator} at {item.time} "
        f"{item.comment}".rstrip()
        for item in result.upstreams.draining
    ]
    headings = (
        *("NODE", "SERVICE", "ZONE", "PHASE", "CONFIG", "LEASE", "OWNED"),
        *("RUNNING", "QUEUED", "LIMIT", "UPSTREAM"),
    )
    lines.append(
        format_table(headings, [_node_cells(report) for report in result.nodes])
    )
    for report in result.nodes:
        lines += _alarm_lines(report)
    return "\n".join(lines)


def _node_cells(report: NodeReport) -> tuple[object, ...]:
    """Returns the table cells of one process."""
    member, status = report.member, report.status
    identity = (member.node, member.service, member.place.availability_zone)
    if status is None:
        return (*identity, "NO ANSWER", *["-"] * 7)
    lease = f"{status.lease_left_s:.1f} s" if status.lease_valid else "none"
    load = (status.running, status.queued, status.limit)
    state = (status.phase, status.config_version, lease, status.owned)
    return (*identity, *state, *load, _upstream_state(status))


def _upstream_state(status: NodeStatus) -> str:
    """Returns the state of an upstream: up, cold or down."""
    if not status.upstream_up:
        return "down"
    return "cold" if status.cold else "up"


def _alarm_lines(report: NodeReport) -> list[str]:
    """Returns one line for each alarm of a process."""
    name = report.member.node
    if report.status is None:
        return [f"ALARM {name}: no_answer: {report.problem}"]
    return [
        f"ALARM {name}: {alarm.code}: {alarm.detail} (for {alarm.since_s:.0f} s)"
        for alarm in report.status.alarms
    ]


def node_status(status: NodeStatus) -> str:
    """Formats the status of one process."""
    versions = [f"{item.key} {item.version}" for item in status.operator_versions]
    lines = [
        f"{status.node}#{status.incarnation} of {status.service} in "
        f"{status.availability_zone}, {status.phase}",
        ", ".join([f"{CONFIG_KEY} {status.config_version}", *versions]),
        f"lease: {'valid' if status.lease_valid else 'none'}, "
        f"{status.lease_left_s:.1f} s left, {status.owned} slices owned",
        f"upstream {_upstream_state(status)}: {status.running} running, "
        f"{status.queued} queued, limit {status.limit}",
        f"platform {'reachable' if status.platform_reachable else 'unreachable'}",
    ]
    lines += [f"crash suspect: {item:016x}" for item in status.suspects]
    lines += [f"ALARM {alarm.code}: {alarm.detail}" for alarm in status.alarms]
    return "\n".join(lines)


def location(result: KeyLocation) -> str:
    """Formats the owner of a key and the reason."""
    lease = "unknown"
    if result.answer is not None and result.answer.owned_here:
        lease = f"{result.answer.lease_left_s:.1f} s left, token {result.answer.token}"
    carved = " (carved out)" if result.slice.carved >= 0 else ""
    owner, *successors = [*map(str, result.succession)] or ["nobody"]
    return "\n".join(
        [
            f"key: {result.service} {result.key}",
            f"slice: {result.slice.index}{carved}, row version {result.version}",
            f"owner in the row: {owner}",
            f"successors: {', '.join(successors) or 'none'}",
            f"not yet revoked: {', '.join(map(str, result.retiring)) or 'none'}",
            f"lease: {lease}",
            f"reason: {result.reason}",
        ]
    )


def slice_status(status: SliceStatus) -> str:
    """Formats the status of a key's slice at one process."""
    verb = "owns" if status.owned_here else "does not own"
    return (
        f"{status.known_by} {verb} slice {status.slice.index}; row version "
        f"{status.version}: {', '.join(map(str, status.succession)) or 'nobody'}; "
        f"{status.reason}"
    )


def slices(result: tuple[SliceLine, ...]) -> str:
    """Formats the rows of slices."""
    headings = ("SERVICE", "SLICE", "VERSION", "OWNER", "SUCCESSORS", "NOT REVOKED")
    rows = [
        (
            item.slice.service,
            f"{item.slice.index}{'*' if item.slice.carved >= 0 else ''}",
            item.version,
            item.owner or "nobody",
            " ".join(item.successors) or "-",
            " ".join(item.retiring) or "-",
        )
        for item in result
    ]
    return format_table(headings, rows)
