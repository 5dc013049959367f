"""Balances the load that members would inherit, so that a loss requires no moves.

Moves change the owners and make the inherited loads uneven. A change of a row's
successors interrupts nothing, as its owner continues to serve.
"""

from __future__ import annotations

from dataclasses import dataclass

from rosemarydeal.core import Incarnation, Row

from .fleet import FleetView
from .load_tally import LoadTally
from .placement import RowChanges
from .rows import next_row

__all__ = ["SuccessorSettings", "balance_successors"]


@dataclass(frozen=True, slots=True)
class SuccessorSettings:
    """Parameters for balancing successors.

    Attributes:
        ratio: Ratio of the highest to the mean share after a loss above which
            successors are changed.
        rows: Maximum number of rows changed at a time.
        period_s: Seconds between two checks of a domain.
    """

    ratio: float = 1.06
    rows: int = 8
    period_s: float = 5.0


def balance_successors(
    view: FleetView, domain: int, settings: SuccessorSettings
) -> RowChanges:
    """Chooses new successors where a loss would overload one member.

    Args:
        view: Known members, chunks and loads of the service.
        domain: The domain to balance.
        settings: Parameters of the choice.

    Returns:
        Rows with new successors and unchanged owners.
    """
    eligible = view.eligible()
    if len(eligible) < 3:
        return RowChanges()
    rows = [row for row in view.domain_rows(domain) if row.owner in eligible]
    tally = LoadTally(eligible, sum(view.weight(row.slice) for row in rows))
    for row in rows:
        tally.add_row(row, view.weight(row.slice))
    changed: list[Row] = []
    for owner in eligible:
        own = [row for row in rows if row.owner == owner and not row.retiring]
        while len(changed) < settings.rows:
            row = _replace_successor(view, tally, owner, own, settings)
            if row is None:
                break
            changed.append(row)
    return RowChanges(tuple(changed))


def _replace_successor(
    view: FleetView,
    tally: LoadTally,
    owner: Incarnation,
    own: list[Row],
    settings: SuccessorSettings,
) -> Row | None:
    """Replaces the first successor of one row of an owner.

    The row is taken from the member that would have the highest share if the owner
    were lost. Returns None if that share is within the ratio or no row reduces it.
    """
    others = [name for name in tally.members if name != owner]
    worst = max(others, key=lambda name: tally.share_after_loss(owner, name))
    highest = tally.share_after_loss(owner, worst)
    if highest <= settings.ratio * tally.mean_share_after_loss(owner):
        return None
    for row in sorted(own, key=lambda row: -view.weight(row.slice)):
        if len(row.succession) < 2 or row.succession[1] != worst:
            continue
        weight = view.weight(row.slice)
        tally.remove_row(row, weight)
        count = view.settings.successors
        names = tally.successors(row.slice, owner, weight, count)
        after = next_row(row, (owner, *names))
        tally.add_row(after, weight)
        if names[0] != worst and tally.share_after_loss(owner, names[0]) < highest:
            own.remove(row)
            return after
        tally.remove_row(after, weight)
        tally.add_row(row, weight)
    return None
