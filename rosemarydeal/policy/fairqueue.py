"""Holds waiting requests, ordered by deadline and shared fairly by weight.

Each tenant has a lane ordered by deadline. The next request comes from the
lane that has received the least service for its weight, so that one tenant's
burst delays only itself.
"""

from __future__ import annotations

from bisect import bisect_left, insort
from collections.abc import Callable
from dataclasses import dataclass, field, replace

import immutables

__all__ = [
    "FairQueue",
    "Lane",
    "QueuedRequest",
    "expired",
    "pop",
    "push",
    "remove",
    "has_capacity",
]


@dataclass(frozen=True, slots=True, order=True)
class QueuedRequest:
    """Orders a waiting request by deadline, then by arrival."""

    deadline: float
    arrival: int
    request_id: str = field(compare=False)


@dataclass(frozen=True, slots=True)
class Lane:
    """Holds the waiting requests of one tenant.

    Attributes:
        entries: The requests, earliest deadline first.
        weight: Share of the tenant under overload.
        virtual_time: Service received divided by the weight.
    """

    entries: tuple[QueuedRequest, ...]
    weight: float
    virtual_time: float


@dataclass(frozen=True, slots=True)
class FairQueue:
    """Holds all lanes.

    Attributes:
        lanes: Lanes of the tenants that have requests waiting.
        size: Requests waiting in all lanes.
        arrivals: Requests that have ever been queued.
        virtual_time: Level of service at which a new lane starts.
    """

    lanes: immutables.Map[str, Lane] = field(default_factory=immutables.Map)
    size: int = 0
    arrivals: int = 0
    virtual_time: float = 0.0


def has_capacity(queue: FairQueue, tenant: str, weight: float, capacity: int) -> bool:
    """Says whether a tenant may queue one more request.

    A tenant gets its weighted share of the queue; one more share stays free
    for the next tenant that comes.

    Args:
        queue: The queue.
        tenant: The tenant that asks.
        weight: Its weight.
        capacity: Requests that the whole queue may hold.

    Returns:
        Whether there is room.
    """
    lane = queue.lanes.get(tenant)
    others = sum(x.weight for name, x in queue.lanes.items() if name != tenant)
    share = capacity * weight / (others + 2 * weight)
    queued = len(lane.entries) if lane else 0
    return queue.size < capacity and queued < max(1.0, share)


def push(
    queue: FairQueue, tenant: str, weight: float, deadline: float, request_id: str
) -> FairQueue:
    """Queues a request of a tenant."""
    lane = queue.lanes.get(tenant) or Lane((), weight, queue.virtual_time)
    entries = list(lane.entries)
    insort(entries, QueuedRequest(deadline, queue.arrivals, request_id))
    lane = replace(lane, entries=tuple(entries), weight=weight)
    return replace(
        queue,
        lanes=queue.lanes.set(tenant, lane),
        size=queue.size + 1,
        arrivals=queue.arrivals + 1,
    )


def pop(
    queue: FairQueue, eligible: Callable[[str], bool]
) -> tuple[FairQueue, str | None]:
    """Takes out the request that is next.

    Args:
        queue: The queue.
        eligible: Says of an id whether it may be dispatched now.

    Returns:
        The queue and the id, None when no waiting request is eligible.
    """
    by_service = sorted(
        queue.lanes.items(), key=lambda item: (item[1].virtual_time, item[0])
    )
    for tenant, lane in by_service:
        for request in lane.entries:
            if eligible(request.request_id):
                virtual_time = lane.virtual_time + 1.0 / lane.weight
                queue = remove(queue, tenant, request)
                if tenant in queue.lanes:
                    updated_lane = replace(
                        queue.lanes[tenant], virtual_time=virtual_time
                    )
                    queue = replace(queue, lanes=queue.lanes.set(tenant, updated_lane))
                queue_time = max(queue.virtual_time, lane.virtual_time)
                return replace(queue, virtual_time=queue_time), request.request_id
    return queue, None


def remove(queue: FairQueue, tenant: str, request: QueuedRequest) -> FairQueue:
    """Takes a given request out; without effect when it is not there."""
    lane = queue.lanes.get(tenant)
    if lane is None:
        return queue
    index = bisect_left(lane.entries, request)
    if index == len(lane.entries) or lane.entries[index] != request:
        return queue
    entries = lane.entries[:index] + lane.entries[index + 1 :]
    if entries:
        lanes = queue.lanes.set(tenant, replace(lane, entries=entries))
    else:
        lanes = queue.lanes.delete(tenant)
    return replace(queue, lanes=lanes, size=queue.size - 1)


def expired(queue: FairQueue, now: float) -> tuple[str, ...]:
    """Returns the waiting requests whose deadline has passed."""
    expired_ids = []
    for lane in queue.lanes.values():
        for request in lane.entries:
            if request.deadline > now:
                break
            expired_ids.append(request.request_id)
    return tuple(expired_ids)
