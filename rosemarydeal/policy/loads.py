"""Gathers load reports into smoothed estimates that know their age."""

from __future__ import annotations

import math
import statistics
from dataclasses import dataclass, replace

from immutables import Map

from rosemarydeal.core import Incarnation, SliceId
from rosemarydeal.core.messages import LoadReport

__all__ = ["LoadBook", "LoadSettings", "MemberLoad", "SliceEstimate"]


@dataclass(frozen=True, slots=True)
class LoadSettings:
    """Tunes how reports are smoothed and when they are believed.

    Attributes:
        smoothing_s: Time constant of the smoothing.
        service_smoothing_s: The same for the service time of members.
        surprise: Deviations of chance from which a report isn't smoothed.
        surprise_weight: Weight of such a report against the estimate.
        stale_s: Age from which a member's reports count for nothing.
        stale_gaps: The same in usual gaps between its reports, if that is longer.
        least_reports: Reports in a row before a member's load is believed.
        forget_s: Age from which a slice's estimate is dropped.
        slow_ratio: Service time over the median one that makes a straggler.
    """

    smoothing_s: float = 20.0
    service_smoothing_s: float = 2.0
    surprise: float = 4.0
    surprise_weight: float = 0.6
    stale_s: float = 8.0
    stale_gaps: float = 2.5
    least_reports: int = 3
    forget_s: float = 60.0
    slow_ratio: float = 1.5


@dataclass(frozen=True, slots=True)
class SliceEstimate:
    """Holds the smoothed load of a slice.

    Attributes:
        load: Busy slots at an upstream that isn't a straggler.
        at: Moment of the last report, in seconds.
        hot_keys: Hashes and loads of its hottest keys, as last reported.
    """

    load: float
    at: float
    hot_keys: tuple[tuple[int, float], ...] = ()


@dataclass(frozen=True, slots=True)
class MemberLoad:
    """Holds what one member's reports say of its upstream.

    Attributes:
        at: Moment that the last report speaks for, in seconds.
        reports: Reports in a row without a gap.
        utilisation: Smoothed share of busy slots.
        last_utilisation: Share of busy slots in the last report alone.
        service_s: Smoothed seconds per request; 0 when unknown.
        slow_since: Moment since which it has been a straggler, if it is one.
        gap_s: Usual seconds between its reports.
    """

    at: float
    reports: int
    utilisation: float
    last_utilisation: float
    service_s: float
    slow_since: float | None = None
    gap_s: float = 0.0


@dataclass(frozen=True, slots=True)
class LoadBook:
    """Holds the estimates of all reported members and slices."""

    settings: LoadSettings = LoadSettings()
    slices: Map[SliceId, SliceEstimate] = Map()
    members: Map[Incarnation, MemberLoad] = Map()

    def observe(self, report: LoadReport, now: float) -> LoadBook:
        """Returns the book with a report taken in; one out of order is ignored.

        Args:
            report: The report.
            now: Moment of its receipt, in seconds.
        """
        at = now - report.age
        known = self.members.get(report.incarnation)
        if known is not None and at <= known.at:
            return self
        member = self._member(known, report, at)
        slices = self.slices.mutate()
        factor = self._report_factor(report)
        for load in report.slices:
            old = slices.get(load.slice)
            usual_s = report.service_s / factor
            found = self._slice_load(old, load.load / factor, at, usual_s)
            slices[load.slice] = SliceEstimate(found, at, load.hot_keys)
        members = self.members.set(report.incarnation, member)
        return replace(self, slices=slices.finish(), members=members)._mark_slow(
            report.incarnation, at
        )

    def forget(self, now: float) -> LoadBook:
        """Returns the book without estimates that are too old to mean anything."""
        oldest = now - self.settings.forget_s
        return replace(
            self,
            slices=Map({key: e for key, e in self.slices.items() if e.at >= oldest}),
            members=Map({key: m for key, m in self.members.items() if m.at >= oldest}),
        )

    def believed(self, name: Incarnation, now: float) -> bool:
        """Tells whether a member's reports are fresh and not a lone one."""
        known = self.members.get(name)
        if known is None or known.reports < self.settings.least_reports:
            return False
        return now - known.at <= self._stale_after(known)

    def slow_factor(self, name: Incarnation) -> float:
        """Returns a member's service time over the median of all members."""
        usual = self._usual_service_s()
        own = self.members.get(name)
        if own is None or own.service_s <= 0 or not usual:
            return 1.0
        return own.service_s / usual

    def slow_since(self, name: Incarnation) -> float | None:
        """Returns since when a member has been a straggler, if it is one."""
        known = self.members.get(name)
        return known.slow_since if known else None

    def _report_factor(self, report: LoadReport) -> float:
        """Returns how much a straggler's report has to be scaled down by."""
        usual = self._usual_service_s()
        if not usual or report.service_s < self.settings.slow_ratio * usual:
            return 1.0
        return report.service_s / usual

    def _usual_service_s(self) -> float:
        """Returns the median service time; 0 when too few members report it."""
        known = [m.service_s for m in self.members.values() if m.service_s > 0]
        return statistics.median(known) if len(known) >= 3 else 0.0

    def _stale_after(self, known: MemberLoad) -> float:
        return max(self.settings.stale_s, self.settings.stale_gaps * known.gap_s)

    def _member(
        self, known: MemberLoad | None, report: LoadReport, at: float
    ) -> MemberLoad:
        if known is None or at - known.at > self._stale_after(known):
            busy = report.utilisation
            return MemberLoad(at, 1, busy, busy, report.service_s)
        utilisation = self._smooth(known.utilisation, known.at, report.utilisation, at)
        service_s = known.service_s
        if report.service_s > 0 and known.service_s > 0:
            constant_s = self.settings.service_smoothing_s
            elapsed = at - known.at
            service_s = _smooth(service_s, report.service_s, elapsed, constant_s)
        elif report.service_s > 0:
            service_s = report.service_s
        return MemberLoad(
            at,
            known.reports + 1,
            utilisation,
            report.utilisation,
            service_s,
            known.slow_since,
            (known.gap_s + at - known.at) / 2 if known.gap_s else at - known.at,
        )

    def _slice_load(
        self, old: SliceEstimate | None, load: float, at: float, service_s: float
    ) -> float:
        """Returns a slice's new estimate; one that chance can't explain is quick.

        The number of requests is taken as Poisson and their times as exponential.
        """
        if old is None:
            return load
        interval = max(at - old.at, 1e-3)
        if service_s > 0:
            expected = max(old.load, service_s / interval)
            deviation = math.sqrt(2 * expected * service_s / interval)
            if abs(load - old.load) > self.settings.surprise * deviation:
                return old.load + self.settings.surprise_weight * (load - old.load)
        return self._smooth(old.load, old.at, load, at)

    def _smooth(self, old: float, old_at: float, new: float, at: float) -> float:
        return _smooth(old, new, at - old_at, self.settings.smoothing_s)

    def _mark_slow(self, name: Incarnation, at: float) -> LoadBook:
        member = self.members[name]
        slow = self.slow_factor(name) >= self.settings.slow_ratio
        if slow == (member.slow_since is not None):
            return self
        marked = replace(member, slow_since=at if slow else None)
        return replace(self, members=self.members.set(name, marked))


def _smooth(old: float, new: float, elapsed: float, constant_s: float) -> float:
    """Returns the exponential average after some seconds of a new value."""
    share = 1 - math.exp(-max(0.0, elapsed) / constant_s)
    return old + share * (new - old)
