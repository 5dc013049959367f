"""What it rests on that an owner of keys, or its upstream, has ended.

Keys are taken from an owner without its release only on one of these grounds.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

__all__ = ["EndBasis", "EndProof"]


class EndBasis(Enum):
    """Why an owner is certain not to use its keys any more.

    Attributes:
        LEASE_EXPIRED: A suspicion has been in the table for longer than any lease.
        RETIRED: Its process stated, before it removed its member, that it is done.
        ADDRESS_TAKEN: Another process answers at its address.
        UPSTREAM_ENDED: Its upstream refused a connection.
        GRANTS_EXPIRED: Its upstream is silent, and all grants have run out.
    """

    LEASE_EXPIRED = "lease-expired"
    RETIRED = "retired"
    ADDRESS_TAKEN = "address-taken"
    UPSTREAM_ENDED = "upstream-ended"
    GRANTS_EXPIRED = "grants-expired"


@dataclass(frozen=True, slots=True)
class EndProof:
    """Proof of the end of one owner.

    Attributes:
        node: The owner.
        basis: What it rests on.
        age_s: Time since this process first had it, in seconds.
        source: From where it came: a node or an incarnation.
    """

    node: str
    basis: EndBasis
    age_s: float
    source: str

    def log_fields(self) -> dict[str, object]:
        """Returns the fields of a log line."""
        return {
            "member": self.node,
            "basis": self.basis.value,
            "age_s": round(self.age_s, 3),
            "source": self.source,
        }
