"""Builds guards beside upstreams that state rate limits."""

from __future__ import annotations

import logging
import math
from contextlib import contextmanager

import structlog

from features.builders_fleet_types import an_identity
from rosemarydeal.core import Address
from rosemarydeal.core.fleet import Announcement, Service
from rosemarydeal.core.requests import Answered, UpstreamNotice
from rosemarydeal.node.crash_watch import CrashHooks
from rosemarydeal.node.guard import Guard, GuardHooks
from rosemarydeal.node.metrics import Metrics
from rosemarydeal.node.upstream import UpstreamWatch
from rosemarydeal.policy.dispatch.queue import Admission

SERVICE = Service("box-office", "/healthz", 80, 0.0, 15.0, True, 5.0)


@contextmanager
def captured_logs():
    """Captures all log lines, whatever level an earlier scenario has set."""
    config = structlog.get_config()
    wrapper = structlog.make_filtering_bound_logger(logging.DEBUG)
    structlog.configure(wrapper_class=wrapper)
    try:
        with structlog.testing.capture_logs() as lines:
            yield lines
    finally:
        structlog.configure(**config)


class LimitedClient:
    """Client of an upstream that answers at once, with a notice that a test sets."""

    def __init__(self):
        self.notice = UpstreamNotice(math.inf)
        self.sent = []
        # Answers wait for this event, if a test sets one.
        self.blocked = None

    async def run(self, upstream_request):
        self.sent.append(upstream_request)
        notice = self.notice
        if self.blocked is not None:
            await self.blocked.wait()
        return Answered(200, (), b"", None, notice)


def an_announcement(identity, instance="i", born_ms=1, sequence=1, draining=False):
    return Announcement(
        instance,
        born_ms,
        identity.service,
        identity.upstream,
        "z",
        12,
        draining,
        0.0,
        sequence,
    )


def a_limited_guard(client, on_crash=lambda records: None):
    """Returns a guard that owns all keys, beside an upstream that is not cold."""
    identity = an_identity("vm-a", "127.0.0.1", Address("127.0.0.1", 1))
    hooks = GuardHooks(
        lambda key: Admission.RUN,
        lambda: False,
        CrashHooks(on_crash, lambda fingerprint, crashes: None),
        lambda: SERVICE,
    )
    watch = UpstreamWatch(
        identity, lambda new, old: guard.apply_upstream_state(new, old)
    )
    guard = Guard(identity, client, watch, hooks, Metrics())
    watch.apply(an_announcement(identity))
    return guard
