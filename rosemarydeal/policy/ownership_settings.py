"""Holds what the ownership policy is told at its start.

The times of the lease protocol stand here as plain fields; the bounds that
follow from the clocks' drift are derived from them in one place.
"""

from __future__ import annotations

from dataclasses import dataclass

from rosemarydeal.core import Address, Place

__all__ = ["Identity", "OwnershipSettings"]


@dataclass(frozen=True, slots=True)
class OwnershipSettings:
    """Gives the times and counts of the ownership protocol.

    Attributes:
        lease_s: Length of a lease, counted from the sending of the request.
        ask_interval_s: Time between two requests to the witnesses.
        silence_s: Silence after which a witness may promise to a successor.
        window_s: Time within which a round's promises must be asked and received.
        clock_drift: Bound on a clock's rate error against true time, as a ratio.
        dispatch_margin_s: Rest of a lease in which nothing is dispatched.
        witness_count: Witnesses of an incarnation.
        acquire_s: Time a first lease may take before other witnesses are tried.
        bootstrap_s: Time after the start to learn members before choosing.
        revoke_interval_s: Time between two requests to clear retiring names.
        release_interval_s: Time between two notices of a released slice.
        write_retry_s: Pause after a failed platform write.
        cleanup_s: Delay before cleared names are removed from the platform.
        renew_interval_s: Least time between voluntary changes of incarnation.
        drain_batch: Slices handed over at a time while draining.
    """

    lease_s: float = 1.5
    ask_interval_s: float = 0.4
    silence_s: float = 1.0
    window_s: float = 0.5
    clock_drift: float = 0.02
    dispatch_margin_s: float = 0.05
    witness_count: int = 3
    acquire_s: float = 1.0
    bootstrap_s: float = 1.0
    revoke_interval_s: float = 0.3
    release_interval_s: float = 0.5
    write_retry_s: float = 0.5
    cleanup_s: float = 2.0
    renew_interval_s: float = 2.0
    drain_batch: int = 8

    @property
    def drift_factor(self) -> float:
        """Returns how much faster one clock within the bound may run than another."""
        return (1.0 + self.clock_drift) / (1.0 - self.clock_drift)

    @property
    def lease_grant_s(self) -> float:
        """Returns how long a witness counts its word, on its own clock."""
        return self.lease_s * self.drift_factor

    @property
    def startup_hold_off_s(self) -> float:
        """Returns how long a witness stays silent after its start."""
        return (self.lease_s + self.window_s) * self.drift_factor


@dataclass(frozen=True, slots=True)
class Identity:
    """Holds what a process announces about itself.

    Attributes:
        node: Stable name of the process.
        service: Service that its upstream serves.
        place: Region, availability zone and upstream name.
        peer: Address for messages between processes.
        entry_host: IP number on which callers reach the process.
        admin: Address for operators and metrics.
        public_key: CURVE public key, in Z85.
        slots: Requests that the upstream runs at a time.
    """

    node: str
    service: str
    place: Place
    peer: Address = Address("127.0.0.1", 0)
    entry_host: str = "127.0.0.1"
    admin: Address = Address("127.0.0.1", 0)
    public_key: str = ""
    slots: int = 1
