"""Weighted fair queue of requests.

Each tenant has a lane ordered by deadline. The next request comes from the lane
with the lowest virtual time, that is, with the least service in proportion to
its weight, so that a burst of one tenant delays only that tenant.
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
    "has_capacity",
    "pop",
    "push",
    "remove",
]


@dataclass(frozen=True, slots=True, order=True)
class QueuedRequest:
    """Queued request, ordered by deadline, then by arrival."""

    deadline: float
    arrival: int
    request_id: str = field(compare=False)


@dataclass(frozen=True, slots=True)
class Lane:
    """Queued requests of one tenant.

    Attributes:
        entries: The requests, earliest deadline first.
        weight: Weight of the tenant under overload.
        virtual_time: Number of dispatched requests divided by the weight.
    """

    entries: tuple[QueuedRequest, ...]
    weight: float
    virtual_time: float


@dataclass(frozen=True, slots=True)
class FairQueue:
    """Lanes of all tenants with queued requests.

    Attributes:
        lanes: Lanes by tenant.
        size: Requests queued in all lanes.
        arrivals: Number of requests queued so far.
        virtual_time: Virtual time at which a new lane starts.
    """

    lanes: immutables.Map[str, Lane] = field(default_factory=immutables.Map)
    size: int = 0
    arrivals: int = 0
    virtual_time: float = 0.0


def has_capacity(queue: FairQueue, tenant: str, weight: float, capacity: int) -> bool:
    """Returns whether a tenant may queue one more request.

    A tenant gets its weighted share of the queue. A share of the same size is
    reserved for a tenant that has no lane yet.

    Args:
        queue: The queue.
        tenant: The tenant of the request.
        weight: Weight of the tenant.
        capacity: Requests that the whole queue may hold.
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
    """Removes the next eligible request.

    Args:
        queue: The queue.
        eligible: Returns whether the request with an id may be dispatched now.

    Returns:
        The new queue and the id, None if no queued request is eligible.
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
    """Removes a request; does nothing if it is not queued."""
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
    """Returns the ids of queued requests whose deadline has passed."""
    expired_ids = []
    for lane in queue.lanes.values():
        for request in lane.entries:
            if request.deadline > now:
                break
            expired_ids.append(request.request_id)
    return tuple(expired_ids)
