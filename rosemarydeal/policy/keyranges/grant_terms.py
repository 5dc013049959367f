"""What the grants of a process rest on: its lease, and the table that names it.

A grant counts from its arrival, so its duration is that of the moment at which it is
sent. The lease bounds it by a point in time, however long after the decision that is.
"""

from __future__ import annotations

from dataclasses import dataclass

from rosemarydeal.core.fleet import NO_REVISION, ObjectOrigin, Revision

from . import ownership_lease
from .ownership_lease import OwnershipLease

__all__ = ["GrantTerms"]


@dataclass(frozen=True, slots=True)
class GrantTerms:
    """The lease and the table under which ranges are granted.

    Attributes:
        lease: The ownership lease.
        max_hold_s: Longest duration of a grant, in seconds.
        revision: Revision of the table that assigns the ranges.
        origin: From where this process has the table, None if it has none.
        decided_at: When the ranges were taken from the table.
    """

    lease: OwnershipLease
    max_hold_s: float
    revision: Revision = NO_REVISION
    origin: ObjectOrigin | None = None
    decided_at: float = 0.0

    def duration_s(self, moment: float) -> float:
        """Returns how long a grant sent at a moment may run; 0 if none may be."""
        return ownership_lease.grant_duration(self.lease, moment, self.max_hold_s)

    def log_fields(self, moment: float) -> dict[str, object]:
        """Returns the fields of a log line on grants that were sent at a moment."""
        renewed_at = self.lease.renewed_at
        return {
            "revision": self.revision,
            "origin": self.origin.value if self.origin is not None else None,
            "lease_age_s": None
            if renewed_at is None
            else round(moment - renewed_at, 3),
            "decided_ago_s": round(moment - self.decided_at, 3),
        }
