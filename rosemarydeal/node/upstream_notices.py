"""Applies what the upstream asks of its callers in its answers.

An answer may state a rate limit, and that the upstream leaves. What an answer of a
former incarnation states changes nothing.
"""

from __future__ import annotations

import math

import structlog

from rosemarydeal.core.clock import now
from rosemarydeal.core.requests import (
    Answered,
    Rejected,
    UpstreamNotice,
    UpstreamResult,
)
from rosemarydeal.policy.dispatch.rate_limit import RateLimiter

from .upstream import UpstreamWatch

__all__ = ["UpstreamNotices"]

_log = structlog.get_logger()


class UpstreamNotices:
    """Passes the notices of the upstream on to the rate limiter and the watch."""

    def __init__(self, watch: UpstreamWatch, limiter: RateLimiter) -> None:
        """Creates the receiver of notices.

        Args:
            watch: Learns that the upstream leaves.
            limiter: Learns the stated rate limits.
        """
        self._watch = watch
        self._limiter = limiter
        self._unreadable = ""

    def apply(self, result: UpstreamResult, incarnation: str, sent_at: float) -> None:
        """Applies the notice in an answer, if there is one.

        Args:
            result: Result of the request.
            incarnation: Incarnation of the upstream that it was sent to.
            sent_at: When it was sent.
        """
        match result:
            case (
                Answered(notice=UpstreamNotice() as notice)
                | Rejected(notice=UpstreamNotice() as notice)
            ) if self._watch.is_current(incarnation):
                self._apply_rate_limit(notice, incarnation, sent_at)
                if notice.leaving:
                    self._watch.report_leaving(incarnation)

    def _apply_rate_limit(
        self, notice: UpstreamNotice, incarnation: str, sent_at: float
    ) -> None:
        """Applies the stated rate limit and logs its changes."""
        if notice.unreadable and notice.unreadable != self._unreadable:
            _log.warning(
                "rate_limit_unreadable",
                incarnation=incarnation,
                value=notice.unreadable,
            )
        self._unreadable = notice.unreadable
        if notice.rate_limit_per_s is None:
            return
        moment, old = now(), self._limiter.per_s
        if self._limiter.apply(notice.rate_limit_per_s, sent_at, moment):
            _log.info(
                "rate_limit_changed",
                incarnation=incarnation,
                per_s=_finite(self._limiter.per_s),
                before=_finite(old),
                sent_per_s=self._limiter.sent_per_s(moment),
            )


def _finite(per_s: float) -> float | None:
    """Returns a rate for a log line, None if it is infinite."""
    return per_s if math.isfinite(per_s) else None
