"""Baseline model: a lease that its holder renews in the platform.

This is the simple design that the witnessed lease replaces. A run computes in
closed form how long one key is without an owner.
"""

from __future__ import annotations

import random
from dataclasses import dataclass

__all__ = ["PlatformLease", "Scenario", "unserved_s"]

Scenario = str


@dataclass(frozen=True, slots=True)
class PlatformLease:
    """Parameters of the baseline.

    Attributes:
        lease_s: Length of the lease, counted from the sending of its write.
        renewal_period_s: Time between renewals.
        max_read_delay_s: Greatest delay until a successor reads a change.
        one_way_s: One-way latency to the platform.
        drift_factor: Allowance for clock drift.
        outage_s: Length of the outage in scenarios that have one.
    """

    lease_s: float = 1.5
    renewal_period_s: float = 0.4
    max_read_delay_s: float = 0.2
    one_way_s: float = 0.005
    drift_factor: float = 1.02 / 0.98
    outage_s: float = 60.0


def unserved_s(lease: PlatformLease, scenario: Scenario, seed: int) -> float:
    """Returns the time for which a key is without an owner, in seconds.

    Args:
        lease: Parameters of the baseline.
        scenario: Name of the scenario, as in `bench.unavailability`.
        seed: Seed of the run.
    """
    rng = random.Random(f"{scenario}/{seed}")
    since_renewal = rng.uniform(0.0, lease.renewal_period_s)
    detection_s = lease.one_way_s + rng.uniform(0.0, lease.max_read_delay_s)
    acquisition_s = 2.0 * lease.one_way_s
    expiry_s = lease.lease_s * lease.drift_factor
    after_loss = max(0.0, expiry_s - since_renewal) + detection_s + acquisition_s
    match scenario:
        case "lost VM":
            return after_loss
        case "lost zone":
            successor_lost = rng.random() < 1.0 / 3.0
            return after_loss + (lease.renewal_period_s if successor_lost else 0.0)
        case "graceful restart" | "planned move":
            return lease.one_way_s + detection_s + acquisition_s
        case "restart of all":
            return expiry_s + acquisition_s
        case "loss in outage" | "outage without loss":
            return lease.outage_s - lease.lease_s + since_renewal + acquisition_s
    raise ValueError(scenario)
