"""Log lines of requests that are rejected because a planned stop is too near."""

from __future__ import annotations

import structlog

from rosemarydeal.core.clock import now
from rosemarydeal.policy.dispatch.queue import DispatchQueue, QueuedRequest
from rosemarydeal.policy.requests.planned_stop import PlannedStop

from .progress import Progress

__all__ = ["log_rejection_at_entry", "log_rejection_at_guard"]

_log = structlog.get_logger()


def log_rejection_at_entry(progress: Progress, stop: PlannedStop) -> None:
    """Logs a request for which not even a hop to a guard was left."""
    moment = now()
    _log.info(
        "rejected_before_stop",
        request_id=progress.request.request_id,
        route=progress.route.name,
        key=progress.request.key,
        at="entry",
        stop_of="self",
        waited_s=round(moment - progress.arrived_at, 4),
        time_left_s=round(stop.cut_at - moment, 4),
        deadline_left_s=round(progress.deadline - moment, 4),
        expected_s=None,
    )


def log_rejection_at_guard(
    queue: DispatchQueue, queued: QueuedRequest, request_id: str
) -> None:
    """Logs a request that could not be answered before the stop."""
    moment = now()
    expected_s = queue.high_service_time_s(queued.route, moment)
    _log.info(
        "rejected_before_stop",
        request_id=request_id,
        route=queued.route,
        key=queued.key,
        at="guard",
        stop_of="sender" if queued.cut_at <= queue.stop.cut_at else "self",
        waited_s=round(moment - queued.arrived, 4),
        time_left_s=round(queue.cut_at(queued) - moment, 4),
        deadline_left_s=round(queued.deadline - moment, 4),
        expected_s=None if expected_s is None else round(expected_s, 4),
    )
