"""Builders of members, tables, views and queued requests."""

from __future__ import annotations

import math

from rosemarydeal.core import Address
from rosemarydeal.core.fleet import (
    Bounds,
    GrantCarrier,
    Member,
    NodeIdentity,
    Route,
    WeightedService,
)
from rosemarydeal.core.requests import RoutedRequest
from rosemarydeal.policy.dispatch.cold_start import ColdStartLimiter
from rosemarydeal.policy.dispatch.queue import Admission, DispatchQueue, QueuedRequest
from rosemarydeal.policy.dispatch.rate_limit import RateLimiter
from rosemarydeal.policy.keyranges.proposals import OwnershipView

SERVICE = "box-office"
# All processes of a deployment share the memory of the tests.
MEMORY_BYTES = 2_000_000_000


def a_member(node, slots=12, pace=1.0, zone="perth-a", accepting=True, born_ms=1000):
    return Member(
        node=node,
        process=f"{node}-1",
        peer=Address("127.0.0.1", 7000),
        zone=zone,
        service=SERVICE,
        instance=f"i-{node}",
        born_ms=born_ms,
        slots=slots,
        accepting=accepting,
        pace=pace,
    )


def a_view(node, members, **changes):
    own = next((m for m in members if m.node == node), None)
    fields = {
        "node": node,
        "service": SERVICE,
        "incarnation": own.incarnation if own else "",
        "accepting": own is not None and own.accepting,
        "alive": True,
        "members": tuple(members),
        "removed": frozenset(),
        "zones_out": frozenset(),
        "unresponsive_s": {},
        "links_up": len(members) - 1,
        "nodes": len(members),
        "lease_expired": frozenset(),
        "members_stable_s": 10.0,
        "store_ready": True,
        "writer": "w",
    }
    return OwnershipView(**(fields | changes))


def a_rate_limiter(per_s=math.inf, now=0.0):
    """Returns the limiter of an upstream that has stated a limit, or none."""
    rate = RateLimiter()
    rate.apply(per_s, now, now)
    return rate


def a_queue(
    slots=2, service_s=None, admits=lambda key: Admission.RUN, cold=None, rate=None
):
    queue = DispatchQueue(cold or ColdStartLimiter(), rate or a_rate_limiter(), admits)
    queue.set_slots(slots)
    for route, seconds in (service_s or {}).items():
        queue.times.record_service_time(route, seconds)
    queue.open()
    return queue


def a_queued_request(
    number,
    now,
    route="lookup",
    rank=2,
    target_s=0.6,
    time_left_s=2.5,
    key=None,
    request_id="",
):
    return QueuedRequest(
        number,
        route,
        rank,
        key,
        now,
        now + target_s,
        now + time_left_s,
        request_id,
    )


def a_route(*backends, name="r", prefix="/a/", idempotent=True, attempts=2):
    return Route(
        name=name,
        host="h.example",
        prefix=prefix,
        backends=tuple(WeightedService(s, w) for s, w in backends),
        idempotent=idempotent,
        attempts=attempts,
        timeout_s=1.5,
        target_s=0.6,
        priority=2,
    )


def a_routed_request(request_id="r1", **changes):
    fields = {
        "request_id": request_id,
        "method": b"GET",
        "target": b"/a/1",
        "headers": ((b"host", b"h.example"), (b"request-id", request_id.encode())),
        "body": b"",
        "caller_service": "shop",
        "service": SERVICE,
        "route": "r",
        "key": 7,
        "idempotent": True,
        "priority": 2,
        "target_s": 0.6,
        "time_left_s": 1.5,
    }
    return RoutedRequest(**(fields | changes))


def an_identity(
    node,
    host,
    store,
    bounds=None,
    service=SERVICE,
    zone="perth-a",
    carrier=GrantCarrier.CALL,
    first_start=True,
):
    return NodeIdentity(
        node=node,
        zone=zone,
        zones=("perth-a", "perth-b"),
        service=service,
        upstream=Address(host, 9001),
        callers=Address(host, 9002),
        readiness=Address(host, 9003),
        announcements=Address(host, 9004),
        peer=Address(host, 9005),
        metrics=Address(host, 9006),
        store=store,
        announce_period_s=0.3,
        bounds=bounds or Bounds(),
        grant_carrier=carrier,
        memory_bytes=MEMORY_BYTES,
        first_start=first_start,
    )
