"""Moves slices from overloaded to less loaded members.

A move interrupts its keys for a short time. A slice is therefore moved only if its
load is worth it, within a budget per minute, and only after reliable reports have
shown the imbalance for some time. The heaviest slice that fits is moved first; a hot
key in a slice that fits nowhere is carved out.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass, replace

from immutables import Map

from rosemarydeal.core import Incarnation, Row, SliceId

from .fleet import FleetView
from .loads import LoadEstimates
from .shares import Shares, is_lasting_straggler

__all__ = ["Carve", "Merge", "Move", "RebalanceSettings", "RebalanceState", "rebalance"]

# Factor by which a slice may exceed the excess load of the donor and the spare
# capacity of the receiver.
FIT_TOLERANCE = 1.2


@dataclass(frozen=True, slots=True)
class RebalanceSettings:
    """Parameters for balancing by moves.

    Attributes:
        start_ratio: Ratio of the highest to the mean share above which moves begin.
        stop_ratio: Ratio at which moves end.
        sustain_s: Seconds for which an imbalance must last before moves begin.
        excess_s: Integral over time of the ratio above `start_ratio` from which moves
            begin, in seconds.
        straggler_s: Seconds for which an upstream must have been a straggler before
            its slowdown is taken into account.
        min_move_share: Smallest load worth a move, as a share of the mean slice load.
        carve_gain: Ratio of a key's load to that of the heaviest slice that could
            move instead, from which the key is carved out.
        moves_per_minute: Rate at which the move budget is refilled.
        burst: Maximum budget, in moves.
        dwell_s: Seconds for which a moved slice is not moved again.
        cold_s: Seconds after joining during which a member receives no moves.
        receive_share: Load from which a member receives no more moves in the same
            plan, as a share of its slots.
        min_reliable_share: Share of the members that must have reliable reports.
        carve_share: Smallest load of a key to carve out, as a share of the mean
            member load.
        merge_share: Largest load of a carved slice to merge back, as a share of the
            mean member load.
        merge_quiet_s: Seconds without a change of its row after which a carved slice
            may be merged back; the time for which callers may resend an id.
    """

    start_ratio: float = 1.10
    stop_ratio: float = 1.04
    sustain_s: float = 3.0
    excess_s: float = 0.3
    straggler_s: float = 10.0
    min_move_share: float = 0.5
    carve_gain: float = 4.0
    moves_per_minute: float = 30.0
    burst: float = 10.0
    dwell_s: float = 20.0
    cold_s: float = 10.0
    receive_share: float = 0.10
    min_reliable_share: float = 0.6
    carve_share: float = 0.10
    merge_share: float = 0.02
    merge_quiet_s: float = 120.0


@dataclass(frozen=True, slots=True)
class Move:
    """Transfers a slice to another owner."""

    slice: SliceId
    to: Incarnation


@dataclass(frozen=True, slots=True)
class Carve:
    """Moves one key of a slice into a slice of its own."""

    base: SliceId
    digest: int


@dataclass(frozen=True, slots=True)
class Merge:
    """Merges a carved key back into its base slice."""

    carved: SliceId


Step = Move | Carve | Merge


@dataclass(frozen=True, slots=True)
class RebalanceState:
    """State of the rebalancing of one domain; times are in seconds.

    Attributes:
        budget: Moves that may be made now.
        budget_at: Time of the last refill of the budget; None before the first.
        over_since: Time since which the ratio has been above `start_ratio`.
        excess: Integral of the ratio above `start_ratio` since then.
        excess_at: Time up to which `excess` is integrated.
        active: Whether moves continue until `stop_ratio` is reached.
        moved_at: Time of each slice's recent move.
        known_since: Time at which each member was first seen.
        carved_rows: Row of each carved slice, and the time since which it is known
            to be unchanged.
    """

    budget: float = 0.0
    budget_at: float | None = None
    over_since: float | None = None
    excess: float = 0.0
    excess_at: float = 0.0
    active: bool = False
    moved_at: Map[SliceId, float] = Map()
    known_since: Map[Incarnation, float] = Map()
    carved_rows: Map[SliceId, tuple[Row, float]] = Map()


def rebalance(
    view: FleetView,
    domain: int,
    load_estimates: LoadEstimates,
    state: RebalanceState,
    settings: RebalanceSettings,
    now: float,
) -> tuple[RebalanceState, tuple[Step, ...]]:
    """Chooses the steps that balance one domain now.

    Args:
        view: Known members, chunks and loads of the service.
        domain: The domain to balance.
        load_estimates: The load estimates.
        state: State of the domain's rebalancing.
        settings: Parameters of the choice.
        now: Current time, in seconds.

    Returns:
        The new state and the steps, the most urgent first.
    """
    state = _advance(view, state, settings, now)
    state = _record_carved_rows(view, domain, state, now)
    reliable = {
        name for name in view.eligible() if load_estimates.is_reliable(name, now)
    }
    needed = max(2.0, settings.min_reliable_share * len(view.eligible()))
    if len(reliable) < needed:
        return replace(state, over_since=None, active=False), ()
    shares = Shares(view, domain, load_estimates, settings.straggler_s, now)
    state = _update_active(shares, state, settings, now)
    if not state.active:
        return state, _choose_merges(shares, state, settings, now)
    selector = _MoveSelector(view, load_estimates, state, settings, reliable, now)
    steps = selector.choose(shares)
    moved_at = state.moved_at.mutate()
    for step in steps:
        if isinstance(step, Move):
            moved_at[step.slice] = now
    budget = state.budget - len(steps)
    return replace(state, budget=budget, moved_at=moved_at.finish()), steps


def _advance(
    view: FleetView, state: RebalanceState, settings: RebalanceSettings, now: float
) -> RebalanceState:
    """Refills the budget and discards old moves and lost members."""
    first = state.budget_at is None
    elapsed = 0.0 if first else now - state.budget_at
    earned = elapsed * settings.moves_per_minute / 60
    budget = settings.burst if first else min(settings.burst, state.budget + earned)
    # Members that joined before the first plan count as warm.
    warm_since = now - settings.cold_s if first else now
    known_since = {
        name: state.known_since.get(name, warm_since)
        for name in sorted(view.eligible())
    }
    oldest = now - settings.dwell_s
    moved_at = {key: at for key, at in state.moved_at.items() if at > oldest}
    return replace(
        state,
        budget=budget,
        budget_at=now,
        moved_at=Map(moved_at),
        known_since=Map(known_since),
    )


def _record_carved_rows(
    view: FleetView, domain: int, state: RebalanceState, now: float
) -> RebalanceState:
    """Records the rows of the carved slices, and since when each is unchanged."""
    carved_rows = {}
    for row in view.domain_rows(domain):
        if row.slice.carved >= 0:
            known = state.carved_rows.get(row.slice)
            unchanged = known is not None and known[0] == row
            carved_rows[row.slice] = known if unchanged else (row, now)
    return replace(state, carved_rows=Map(carved_rows))


def _update_active(
    shares: Shares, state: RebalanceState, settings: RebalanceSettings, now: float
) -> RebalanceState:
    """Updates whether the imbalance is high enough, and for long enough, for moves."""
    ratio = shares.ratio()
    if state.active:
        return replace(state, active=ratio > settings.stop_ratio, over_since=None)
    # The smoothed load lags behind; the last reports show whether the imbalance is
    # already over.
    midpoint = 1 + (settings.start_ratio - 1) / 2
    if ratio <= settings.start_ratio or not shares.is_still_above(midpoint):
        return replace(state, over_since=None)
    if state.over_since is None:
        return replace(state, over_since=now, excess=0.0, excess_at=now)
    excess = state.excess
    excess += (ratio - settings.start_ratio) * (now - state.excess_at)
    sustained = now - state.over_since >= settings.sustain_s
    active = sustained and excess >= settings.excess_s
    return replace(state, excess=excess, excess_at=now, active=active)


def _choose_merges(
    shares: Shares, state: RebalanceState, settings: RebalanceSettings, now: float
) -> tuple[Step, ...]:
    """Returns the merge of a carved key that is no longer hot.

    Called only while no moves for balance are active. If the base slice has another
    owner, the carved slice is first moved there.

    A former owner of the carved slice may have run orders whose ids are missing in the
    ledger of the base slice's owner, so it is merged only once these have expired.
    Such a loss always changes the carved slice's row.
    """
    limit = max(settings.merge_share * _mean_load(shares), shares.mean_slice_load())
    bases: Mapping[SliceId, Row] = {
        row.slice: row
        for rows in shares.rows.values()
        for row in rows
        if row.slice.carved < 0
    }
    steps: list[Step] = []
    for rows in shares.rows.values():
        for row in rows:
            base = bases.get(SliceId(row.slice.service, row.slice.index))
            if row.slice.carved < 0 or base is None or shares.weight(row) > limit:
                continue
            if row.retiring or base.retiring:
                continue
            if base.owner != row.owner:
                steps.append(Move(row.slice, base.owner))
            elif now - state.carved_rows[row.slice][1] > settings.merge_quiet_s:
                steps.append(Merge(row.slice))
    return tuple(steps[:1])


def _mean_load(shares: Shares) -> float:
    return sum(shares.loads.values()) / len(shares.loads)


class _MoveSelector:
    """Chooses moves between members with reliable reports, within the limits."""

    def __init__(
        self,
        view: FleetView,
        load_estimates: LoadEstimates,
        state: RebalanceState,
        settings: RebalanceSettings,
        reliable: set[Incarnation],
        now: float,
    ) -> None:
        self._view = view
        self._load_estimates = load_estimates
        self._state = state
        self._settings = settings
        self._reliable = reliable
        self._now = now
        self._received: dict[Incarnation, float] = {}

    def choose(self, shares: Shares) -> tuple[Step, ...]:
        """Returns the steps within the budget, up to the first carving."""
        steps: list[Step] = []
        while len(steps) + 1 <= self._state.budget:
            if shares.ratio() <= self._settings.stop_ratio:
                break
            step = self._next_step(shares)
            if step is None:
                break
            steps.append(step)
            if isinstance(step, Carve):
                break
        return tuple(steps)

    def _next_step(self, shares: Shares) -> Step | None:
        """Returns the best step that relieves the most loaded member possible."""
        mean = shares.mean()
        for donor in sorted(shares.members, key=shares.share, reverse=True):
            if shares.share(donor) <= mean * self._settings.stop_ratio:
                return None
            if not self._can_donate(shares, donor):
                continue
            receiver = self._receiver(shares)
            if receiver is None:
                return None
            step = self._select_move(shares, donor, receiver)
            if step is not None:
                return step
        return None

    def _can_donate(self, shares: Shares, name: Incarnation) -> bool:
        """Returns whether a member's load is reliable and not just a short peak."""
        slow = self._load_estimates.straggler_since(name) is not None
        lasting = is_lasting_straggler(
            self._load_estimates, name, self._settings.straggler_s, self._now
        )
        over = shares.last_utilisation(name) >= shares.mean_last_utilisation()
        return name in self._reliable and over and (lasting or not slow)

    def _receiver(self, shares: Shares) -> Incarnation | None:
        """Returns the least loaded member that may receive a slice now."""
        return min(
            (name for name in shares.members if self._can_receive(shares, name)),
            key=lambda name: (shares.share(name), name),
            default=None,
        )

    def _can_receive(self, shares: Shares, name: Incarnation) -> bool:
        warm = self._now - self._state.known_since[name] >= self._settings.cold_s
        limit = self._settings.receive_share * shares.members[name].slots
        below_limit = self._received.get(name, 0.0) < limit
        return warm and below_limit and name in self._reliable

    def _select_move(
        self, shares: Shares, donor: Incarnation, receiver: Incarnation
    ) -> Step | None:
        """Returns the heaviest worthwhile move between two members, or a carving."""
        mean = shares.mean()
        excess = (shares.share(donor) - mean) * shares.members[donor].slots
        spare = (mean - shares.share(receiver)) * shares.members[receiver].slots
        min_load = self._settings.min_move_share * shares.mean_slice_load()
        movable = [row for row in shares.rows[donor] if self._is_movable(row)]
        fitting = [
            row
            for row in movable
            if shares.weight(row) <= excess * FIT_TOLERANCE
            and shares.weight_at(row, receiver) <= spare * FIT_TOLERANCE
        ]
        best = max(fitting, key=shares.weight, default=None)
        weight = shares.weight(best) if best is not None else 0.0
        carve = self._choose_carve(shares, donor, weight * self._settings.carve_gain)
        if carve is not None:
            return carve
        if best is None or weight < min_load:
            best = self._lightest_move(shares, movable, receiver, min_load)
        if best is None:
            return None
        received = self._received.get(receiver, 0.0) + shares.weight(best)
        self._received[receiver] = received
        shares.move(best, receiver)
        return Move(best.slice, receiver)

    def _lightest_move(
        self,
        shares: Shares,
        rows: Sequence[Row],
        receiver: Incarnation,
        min_load: float,
    ) -> Row | None:
        """Returns the lightest worthwhile slice whose move lowers the higher share."""
        improving = [
            row
            for row in rows
            if shares.weight(row) >= min_load
            and shares.share_with(receiver, row) < shares.share_without(row)
        ]
        return min(improving, key=shares.weight, default=None)

    def _is_movable(self, row: Row) -> bool:
        return not row.retiring and row.slice not in self._state.moved_at

    def _choose_carve(
        self, shares: Shares, donor: Incarnation, min_load: float
    ) -> Step | None:
        """Returns the carving of the donor's hottest key that has no slice of its own.

        A key with more than 80 % of its slice's load counts as alone in the slice.
        """
        min_load = max(min_load, self._settings.carve_share * _mean_load(shares))
        best: Carve | None = None
        for row in shares.rows[donor]:
            estimate = self._load_estimates.slices.get(row.slice)
            if estimate is None or row.slice.carved >= 0 or row.retiring:
                continue
            for digest, load in estimate.hot_keys[:1]:
                own = SliceId(row.slice.service, row.slice.index, digest)
                if own in shares.carved or load < min_load:
                    continue
                if load <= 0.8 * estimate.load:
                    best, min_load = Carve(row.slice, digest), load
        return best
