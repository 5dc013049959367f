"""State of the guard, and functions that read it."""

from __future__ import annotations

from dataclasses import dataclass, field, replace

import immutables

from rosemarydeal.core import NotRun, SliceId, Unknown

from . import coldstart
from .admission import Admission, capacity
from .claimed_suspects import ClaimedSuspects, is_blocked
from .coldstart import ColdStart
from .fairqueue import FairQueue, QueuedRequest
from .guard_interface import GuardSettings, RequestArrived
from .interface import OwnershipGained
from .ledger import Ledger
from .tickets import OwnershipRecord, carve

__all__ = [
    "REROUTE_CODES",
    "GuardState",
    "GuardStatus",
    "LiveRequest",
    "cold_share",
    "detect_cold_start",
    "earlier_run_possible",
    "include_earlier_attempts",
    "load_hint",
    "ownership_before_gain",
    "ownership_of",
    "put_live",
    "start",
    "status",
]

DOWN_LOAD = 4
"""Reported load without an upstream, in multiples of the slots."""

REROUTE_CODES = frozenset({"moving", "not-owner", "not-sent", "upstream-down"})
"""Codes after which the entry sends a request to another process."""


@dataclass(frozen=True, slots=True)
class LiveRequest:
    """Queued or running request.

    Attributes:
        request: The request as it first arrived.
        callers: Callers that wait for the outcome.
        arrived_at: Time of the arrival, in seconds.
        earlier_run_possible: Whether an earlier attempt may have run elsewhere.
        queued: Its queue entry; None once dispatched.
        token: Fencing token under which it was dispatched.
        dispatched_at: Time of the dispatch, in seconds.
        cancelled: Whether its cancellation was sent to the upstream.
        crash_counted: Whether it was already recorded as in flight at a crash.
    """

    request: RequestArrived
    callers: tuple[int, ...]
    arrived_at: float
    earlier_run_possible: bool
    queued: QueuedRequest | None = None
    token: int = 0
    dispatched_at: float = 0.0
    cancelled: bool = False
    crash_counted: bool = False

    @property
    def is_running(self) -> bool:
        """Returns whether it was dispatched."""
        return self.queued is None


@dataclass(frozen=True, slots=True)
class GuardState:
    """Complete state of the guard.

    Attributes:
        settings: Limits in force.
        boot_id: Number that identifies this run of the process.
        up: Whether the upstream accepts requests.
        live: Queued and running requests by id.
        dispatched_at_sum: Sum of the dispatch times of the running requests.
        callers: Id of the request that each caller waits for.
        ownerships: Ownership records by slice.
        running_by_slice: Number of running requests by slice.
        stopping: Slices to hand over and report once they are idle.
        queue: Queued requests.
        ledger: Ids of non-idempotent requests.
        admission: Concurrency limit and connections.
        cold: Cold-start ramp and latency history.
        suspects: Fingerprints that were in flight at crashes.
        consecutive_failures: Number of latest requests in a row that failed or got a
            server error.
    """

    settings: GuardSettings
    boot_id: int
    up: bool
    admission: Admission
    cold: ColdStart
    live: immutables.Map[str, LiveRequest] = field(default_factory=immutables.Map)
    dispatched_at_sum: float = 0.0
    callers: immutables.Map[int, str] = field(default_factory=immutables.Map)
    ownerships: immutables.Map[SliceId, OwnershipRecord] = field(
        default_factory=immutables.Map
    )
    running_by_slice: immutables.Map[SliceId, int] = field(
        default_factory=immutables.Map
    )
    stopping: frozenset[SliceId] = frozenset()
    queue: FairQueue = FairQueue()
    ledger: Ledger = Ledger()
    suspects: ClaimedSuspects = ClaimedSuspects()
    consecutive_failures: int = 0


@dataclass(frozen=True, slots=True)
class GuardStatus:
    """Figures for metrics and the status page.

    Attributes:
        up: Whether the upstream accepts requests.
        running: Number of running requests.
        queued: Number of queued requests.
        limit: Current concurrency limit.
        cold_share: Share of its slots that the upstream may use now.
        ledger_ids: Number of ids in the ledger.
        answer_bytes: Bytes of the stored answers.
        blocked: Fingerprints whose requests are rejected.
    """

    up: bool
    running: int
    queued: int
    limit: int
    cold_share: float
    ledger_ids: int
    answer_bytes: int
    blocked: tuple[int, ...]


def start(settings: GuardSettings, now: float, boot_id: int) -> GuardState:
    """Returns the initial state of a guard whose upstream has not started yet.

    Args:
        settings: Initial limits.
        now: The current time, in seconds.
        boot_id: Number that identifies this run of the process.
    """
    admission = Admission(limit=float(settings.slots), allowance_updated_at=now)
    return GuardState(settings, boot_id, False, admission, ColdStart())


def ownership_of(state: GuardState, slice: SliceId) -> OwnershipRecord:
    """Returns the record of a slice."""
    ownership = state.ownerships.get(slice)
    return OwnershipRecord(slice) if ownership is None else ownership


def ownership_before_gain(
    state: GuardState, gained: OwnershipGained
) -> OwnershipRecord:
    """Returns the record to which a gain applies.

    A slice that is gained under the token of its base slice was served under the base
    slice until now and takes its record over. Under another token, other owners may
    have served the carved slice, whose tokens can lie among those of the base slice.
    """
    if gained.slice.carved >= 0:
        base = state.ownerships.get(replace(gained.slice, carved=-1))
        if base is not None and base.owned and base.token == gained.token:
            return carve(base, gained.slice)
    return ownership_of(state, gained.slice)


def cold_share(state: GuardState, now: float) -> float:
    """Returns the share of its slots that the upstream may use now."""
    return coldstart.share(state.cold, state.settings, now)


def detect_cold_start(state: GuardState, now: float) -> GuardState:
    """Detects a cold start from recent latencies and the running requests."""
    running = state.admission.running
    total_age_s = running * now - state.dispatched_at_sum
    cold = coldstart.detect(state.cold, state.settings, running, total_age_s, now)
    return state if cold is state.cold else replace(state, cold=cold)


def load_hint(state: GuardState, now: float) -> int:
    """Returns the pending requests, scaled from the current limit to all slots.

    Entries compare nodes by this figure. The scaling accounts for the lower limit
    of a cold node, and a node without an upstream reports a multiple of its slots.
    """
    slots = state.settings.slots
    if not state.up:
        return DOWN_LOAD * slots
    limit = capacity(state.admission, state.settings, cold_share(state, now))
    pending = state.admission.running + state.queue.size
    return round(pending * slots / limit)


def status(state: GuardState, now: float) -> GuardStatus:
    """Returns the figures for metrics and the status page."""
    share = cold_share(state, now)
    return GuardStatus(
        up=state.up,
        running=state.admission.running,
        queued=state.queue.size,
        limit=capacity(state.admission, state.settings, share),
        cold_share=share,
        ledger_ids=len(state.ledger.entries),
        answer_bytes=state.ledger.answer_bytes,
        blocked=tuple(
            sorted(
                fingerprint
                for fingerprint in state.suspects.records
                if is_blocked(state.suspects, fingerprint)
            )
        ),
    )


def earlier_run_possible(request: RequestArrived) -> bool:
    """Returns whether an earlier attempt of a request may have run elsewhere."""
    return request.resent and not request.idempotent


def include_earlier_attempts(
    outcome: NotRun | Unknown, earlier_run_possible: bool
) -> NotRun | Unknown:
    """Returns an outcome that also holds for earlier attempts.

    Only a dispatch proves that the slice was still owned when the ticket was
    checked. Before a dispatch, *not run* is certain of the latest attempt alone.

    Args:
        outcome: Outcome of the latest attempt.
        earlier_run_possible: Whether an earlier attempt may have run elsewhere.
    """
    if isinstance(outcome, Unknown) or not earlier_run_possible:
        return outcome
    code = outcome.code if outcome.code in REROUTE_CODES else "may-have-run"
    return Unknown(code, "An earlier attempt may have run elsewhere.")


def put_live(state: GuardState, live: LiveRequest) -> GuardState:
    """Stores a live request under its id."""
    return replace(state, live=state.live.set(live.request.request_id, live))
