"""Holds the state of the guard and answers questions about it."""

from __future__ import annotations

from dataclasses import dataclass, field, replace

import immutables

from rosemarydeal.core import NotRun, SliceId, Unknown

from . import coldstart
from .admission import Admission, capacity
from .coldstart import ColdStart
from .crash_suspects import Suspects, is_blocked
from .fairqueue import FairQueue, QueuedRequest
from .guard_interface import GuardSettings, RequestArrived
from .ledger import Ledger
from .tickets import OwnershipRecord, carve

__all__ = [
    "GuardState",
    "GuardStatus",
    "REROUTE_CODES",
    "LiveRequest",
    "cold_share",
    "load_hint",
    "earlier_run_possible",
    "put_live",
    "ownership_of",
    "start",
    "status",
    "include_earlier_attempts",
    "detect_cold_start",
]

DOWN_LOAD = 4
"""Load in multiples of the slots that is told while no upstream is there."""

REROUTE_CODES = frozenset({"moving", "not-owner", "not-sent", "upstream-down"})
"""Codes that send a request to another process rather than to its caller."""


@dataclass(frozen=True, slots=True)
class LiveRequest:
    """Holds a request that waits for a slot or runs.

    Attributes:
        request: The arrival that it began with.
        callers: Callers that wait for its outcome.
        arrived_at: Moment of the arrival, in seconds.
        earlier_run_possible: Whether an earlier try may have run elsewhere.
        queued: Its position in the queue; None once dispatched.
        token: Fencing token under which it was dispatched.
        dispatched_at: Moment of the dispatch, in seconds.
        cancelled: Whether the upstream was told to cancel it.
        crash_counted: Whether it already counts as in flight at a crash.
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
        """Says whether it was dispatched."""
        return self.queued is None


@dataclass(frozen=True, slots=True)
class GuardState:
    """Holds all that the guard knows.

    Attributes:
        settings: Limits in force.
        boot_id: Number that tells this life of the process from others.
        up: Whether the upstream takes requests.
        live: Requests that wait or run, by id.
        dispatched_at_sum: Sum of the moments at which what runs was dispatched.
        callers: Request that each waiting caller waits for.
        ownerships: What is known of each slice.
        running_by_slice: Requests that run, by slice.
        stopping: Slices that are to be reported once they are idle.
        queue: Requests that wait.
        ledger: Ids of non-idempotent requests.
        admission: Counts of what runs.
        cold: Ramp and latency history.
        suspects: Requests that were in flight at crashes.
        consecutive_failures: Latest requests that failed or got a server error.
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
    suspects: Suspects = Suspects()
    consecutive_failures: int = 0


@dataclass(frozen=True, slots=True)
class GuardStatus:
    """Gives the figures that metrics and operators show.

    Attributes:
        up: Whether the upstream takes requests.
        running: Requests that run.
        queued: Requests that wait.
        limit: Requests that may run at a time now.
        cold_share: Share of the slots that the upstream bears now.
        ledger_ids: Ids that are kept.
        answer_bytes: Bytes of the answers that are kept.
        blocked: Fingerprints that are refused.
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
    """Returns the state of a guard whose upstream has not started yet.

    Args:
        settings: Limits to begin with.
        now: The moment, in seconds.
        boot_id: Number that tells this life of the process from others.
    """
    admission = Admission(limit=float(settings.slots), allowance_updated_at=now)
    return GuardState(settings, boot_id, False, admission, ColdStart())


def ownership_of(state: GuardState, slice: SliceId) -> OwnershipRecord:
    """Returns what is known of a slice; a carved one begins as its base."""
    ownership = state.ownerships.get(slice)
    if ownership is not None:
        return ownership
    base = state.ownerships.get(replace(slice, carved=-1))
    return OwnershipRecord(slice) if base is None else carve(base, slice)


def cold_share(state: GuardState, now: float) -> float:
    """Returns the share of its slots that the upstream bears now."""
    return coldstart.share(state.cold, state.settings, now)


def detect_cold_start(state: GuardState, now: float) -> GuardState:
    """Looks at what runs for signs of an upstream gone cold."""
    running = state.admission.running
    total_age_s = running * now - state.dispatched_at_sum
    cold = coldstart.detect(state.cold, state.settings, running, total_age_s, now)
    return state if cold is state.cold else replace(state, cold=cold)


def load_hint(state: GuardState, now: float) -> int:
    """Returns the requests in hand, as if the upstream had all its slots.

    Entries compare nodes by it, so a node that is down or cold seems as busy
    as it is for its limit.
    """
    slots = state.settings.slots
    if not state.up:
        return DOWN_LOAD * slots
    limit = capacity(state.admission, state.settings, cold_share(state, now))
    pending = state.admission.running + state.queue.size
    return round(pending * slots / limit)


def status(state: GuardState, now: float) -> GuardStatus:
    """Returns the figures that metrics and operators show."""
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
    """Says whether an earlier try of a request may have run elsewhere."""
    return request.resent and not request.idempotent


def include_earlier_attempts(
    outcome: NotRun | Unknown, earlier_run_possible: bool
) -> NotRun | Unknown:
    """Returns an outcome that is true of earlier tries, too.

    Only a dispatch proves that the right was still held when the past of a
    request was judged. Before one, *not run* speaks of the latest try alone.

    Args:
        outcome: What became of the latest try.
        earlier_run_possible: Whether an earlier try may have run elsewhere.
    """
    if isinstance(outcome, Unknown) or not earlier_run_possible:
        return outcome
    code = outcome.code if outcome.code in REROUTE_CODES else "may-have-run"
    return Unknown(code, "An earlier try may have run elsewhere.")


def put_live(state: GuardState, live: LiveRequest) -> GuardState:
    """Stores a live request under its id."""
    return replace(state, live=state.live.set(live.request.request_id, live))
