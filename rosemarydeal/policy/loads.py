"""Smoothed load estimates from the load reports of the members."""

from __future__ import annotations

import math
import statistics
from dataclasses import dataclass, replace

from immutables import Map

from rosemarydeal.core import Incarnation, SliceId
from rosemarydeal.core.messages import LoadReport

__all__ = ["LoadEstimates", "LoadSettings", "MemberLoad", "SliceEstimate"]


@dataclass(frozen=True, slots=True)
class LoadSettings:
    """Parameters for smoothing load reports and judging their reliability.

    Attributes:
        smoothing_s: Time constant of the smoothing, in seconds.
        service_smoothing_s: The same for the service time of members.
        outlier_deviations: Number of standard deviations above which a report
            is weighted by `outlier_weight` instead of being smoothed.
        outlier_weight: Weight of such a report against the estimate.
        max_age_s: Age in seconds above which a member's reports are ignored.
        max_age_intervals: The same in report intervals; the longer one applies.
        min_reports: Consecutive reports that make a member's load reliable.
        retention_s: Age in seconds above which an estimate is discarded.
        straggler_ratio: Ratio to the median service time from which a member
            is a straggler.
    """

    smoothing_s: float = 20.0
    service_smoothing_s: float = 2.0
    outlier_deviations: float = 4.0
    outlier_weight: float = 0.6
    max_age_s: float = 8.0
    max_age_intervals: float = 2.5
    min_reports: int = 3
    retention_s: float = 60.0
    straggler_ratio: float = 1.5


@dataclass(frozen=True, slots=True)
class SliceEstimate:
    """Smoothed load of a slice.

    Attributes:
        load: Busy slots at an upstream that is not a straggler.
        at: Time of the last report, in seconds.
        hot_keys: Hashes and loads of its hottest keys in the last report.
    """

    load: float
    at: float
    hot_keys: tuple[tuple[int, float], ...] = ()


@dataclass(frozen=True, slots=True)
class MemberLoad:
    """Reported load of one member's upstream.

    Attributes:
        at: Time to which the last report applies, in seconds.
        reports: Consecutive reports without a gap.
        utilisation: Smoothed share of busy slots.
        last_utilisation: Share of busy slots in the last report, unsmoothed.
        service_s: Smoothed service time of a request, in seconds; 0 if unknown.
        straggler_since: Time at which it became a straggler; None if it is not one.
        interval_s: Average interval between its reports, in seconds.
    """

    at: float
    reports: int
    utilisation: float
    last_utilisation: float
    service_s: float
    straggler_since: float | None = None
    interval_s: float = 0.0


@dataclass(frozen=True, slots=True)
class LoadEstimates:
    """Load estimates of all reported members and slices."""

    settings: LoadSettings = LoadSettings()
    slices: Map[SliceId, SliceEstimate] = Map()
    members: Map[Incarnation, MemberLoad] = Map()

    def observe(self, report: LoadReport, now: float) -> LoadEstimates:
        """Returns the estimates updated by a report; an out-of-order one is ignored.

        Args:
            report: The report.
            now: Time of its receipt, in seconds.
        """
        at = now - report.age
        previous = self.members.get(report.incarnation)
        if previous is not None and at <= previous.at:
            return self
        member = self._update_member(previous, report, at)
        slices = self.slices.mutate()
        slowdown = self._report_slowdown(report)
        for load in report.slices:
            old = slices.get(load.slice)
            normal_service_s = report.service_s / slowdown
            smoothed_load = self._update_slice_load(
                old, load.load / slowdown, at, normal_service_s
            )
            slices[load.slice] = SliceEstimate(smoothed_load, at, load.hot_keys)
        members = self.members.set(report.incarnation, member)
        return replace(self, slices=slices.finish(), members=members)._update_straggler(
            report.incarnation, at
        )

    def discard_old(self, now: float) -> LoadEstimates:
        """Returns the estimates without those older than `retention_s`."""
        oldest = now - self.settings.retention_s
        return replace(
            self,
            slices=Map({key: e for key, e in self.slices.items() if e.at >= oldest}),
            members=Map({key: m for key, m in self.members.items() if m.at >= oldest}),
        )

    def is_reliable(self, name: Incarnation, now: float) -> bool:
        """Returns whether a member has recent reports, and enough of them in a row."""
        member = self.members.get(name)
        if member is None or member.reports < self.settings.min_reports:
            return False
        return now - member.at <= self._max_age_s(member)

    def slowdown(self, name: Incarnation) -> float:
        """Returns the ratio of a member's service time to the median; 1 if unknown."""
        median_s = self._median_service_s()
        own = self.members.get(name)
        if own is None or own.service_s <= 0 or not median_s:
            return 1.0
        return own.service_s / median_s

    def straggler_since(self, name: Incarnation) -> float | None:
        """Returns the time at which a member became a straggler; None if it is not."""
        member = self.members.get(name)
        return member.straggler_since if member else None

    def _report_slowdown(self, report: LoadReport) -> float:
        """Returns the factor by which a straggler's reported loads are divided."""
        median_s = self._median_service_s()
        if not median_s or report.service_s < self.settings.straggler_ratio * median_s:
            return 1.0
        return report.service_s / median_s

    def _median_service_s(self) -> float:
        """Returns the median service time; 0 if fewer than 3 members report it."""
        reported = [m.service_s for m in self.members.values() if m.service_s > 0]
        return statistics.median(reported) if len(reported) >= 3 else 0.0

    def _max_age_s(self, member: MemberLoad) -> float:
        return max(
            self.settings.max_age_s, self.settings.max_age_intervals * member.interval_s
        )

    def _update_member(
        self, previous: MemberLoad | None, report: LoadReport, at: float
    ) -> MemberLoad:
        if previous is None or at - previous.at > self._max_age_s(previous):
            first = report.utilisation
            return MemberLoad(at, 1, first, first, report.service_s)
        utilisation = self._smooth(
            previous.utilisation, previous.at, report.utilisation, at
        )
        service_s = previous.service_s
        if report.service_s > 0 and previous.service_s > 0:
            constant_s = self.settings.service_smoothing_s
            elapsed = at - previous.at
            service_s = _smooth(service_s, report.service_s, elapsed, constant_s)
        elif report.service_s > 0:
            service_s = report.service_s
        return MemberLoad(
            at,
            previous.reports + 1,
            utilisation,
            report.utilisation,
            service_s,
            previous.straggler_since,
            (previous.interval_s + at - previous.at) / 2
            if previous.interval_s
            else at - previous.at,
        )

    def _update_slice_load(
        self, old: SliceEstimate | None, load: float, at: float, service_s: float
    ) -> float:
        """Returns a slice's new estimate.

        A change that random variation does not explain is adopted faster. The
        variation assumes Poisson arrivals and exponential service times.
        """
        if old is None:
            return load
        interval = max(at - old.at, 1e-3)
        if service_s > 0:
            expected = max(old.load, service_s / interval)
            deviation = math.sqrt(2 * expected * service_s / interval)
            if abs(load - old.load) > self.settings.outlier_deviations * deviation:
                return old.load + self.settings.outlier_weight * (load - old.load)
        return self._smooth(old.load, old.at, load, at)

    def _smooth(self, old: float, old_at: float, new: float, at: float) -> float:
        return _smooth(old, new, at - old_at, self.settings.smoothing_s)

    def _update_straggler(self, name: Incarnation, at: float) -> LoadEstimates:
        member = self.members[name]
        slow = self.slowdown(name) >= self.settings.straggler_ratio
        if slow == (member.straggler_since is not None):
            return self
        marked = replace(member, straggler_since=at if slow else None)
        return replace(self, members=self.members.set(name, marked))


def _smooth(old: float, new: float, elapsed: float, constant_s: float) -> float:
    """Returns the exponential average after `elapsed` seconds with the new value."""
    share = 1 - math.exp(-max(0.0, elapsed) / constant_s)
    return old + share * (new - old)
