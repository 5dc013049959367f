"""Settings of the ownership policy and the identity of its process.

The bounds that follow from the drift of clocks are derived here from the times
of the lease protocol.
"""

from __future__ import annotations

from dataclasses import dataclass

from rosemarydeal.core import Address, Place

__all__ = ["Identity", "OwnershipSettings"]


@dataclass(frozen=True, slots=True)
class OwnershipSettings:
    """Times and counts of the ownership protocol; the times are in seconds.

    Attributes:
        lease_s: Length of a lease, counted from the sending of the request.
        ask_interval_s: Interval between lease requests to the witnesses.
        silence_s: Time without a lease request after which a witness may give a
            promise to a successor.
        window_s: Time from the start of a round within which its promises must
            be received.
        clock_drift: Bound on a clock's rate error against true time, as a ratio.
        dispatch_margin_s: Time before the end of a lease in which nothing is
            dispatched.
        witness_count: Witnesses of an incarnation.
        acquire_s: Time to wait for a first lease before other witnesses are
            chosen.
        bootstrap_s: Time after the start to wait for member objects before
            witnesses are chosen.
        revoke_interval_s: Interval between revocation requests to retiring
            incarnations.
        release_interval_s: Interval between repeated notices of a released slice.
        write_retry_s: Mean delay after a failed platform write.
        cleanup_s: Delay before retiring incarnations that acknowledged the
            revocation are removed from the platform.
        renew_interval_s: Minimum time between voluntary changes of incarnation.
        drain_batch: Slices that are handed over at a time while draining.
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
        """Returns the largest ratio of the rates of two clocks within the bound."""
        return (1.0 + self.clock_drift) / (1.0 - self.clock_drift)

    @property
    def lease_grant_s(self) -> float:
        """Returns how long a witness counts a granted lease, on its own clock."""
        return self.lease_s * self.drift_factor

    @property
    def startup_hold_off_s(self) -> float:
        """Returns how long a witness grants no leases after its start.

        State that the witness lost in a restart no longer matters after this time.
        """
        return (self.lease_s + self.window_s) * self.drift_factor


@dataclass(frozen=True, slots=True)
class Identity:
    """Properties of a process that its member object announces.

    Attributes:
        node: Stable name of the process.
        service: Service that its upstream serves.
        place: Region, availability zone and upstream name.
        peer: Address for messages between processes.
        entry_host: IP address on which callers reach the process.
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
