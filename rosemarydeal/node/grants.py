"""Carries grants of key ranges to the upstream of this VM in calls.

Renews grants well before they expire and releases keys before they move to
another upstream. A call without an answer may still have taken effect, so each
grant also records how long the upstream may hold its keys.

What listens at the address may be a successor that has not announced itself yet. A
grant names the instance that it is meant for. A successor may have the same name, so
after a refused connection no grant is sent before the next announcement.
"""

from __future__ import annotations

import asyncio
import math
from collections.abc import Callable, Coroutine, Sequence
from dataclasses import dataclass
from functools import partial

import structlog

from rosemarydeal.core import CodedError
from rosemarydeal.core.clock import now
from rosemarydeal.core.fleet import Announcement, GrantStatement, KeyRange
from rosemarydeal.platform.upstream import (
    GrantRefused,
    UpstreamCallFailed,
    UpstreamClient,
)
from rosemarydeal.policy.keyranges import ownership_lease
from rosemarydeal.policy.keyranges import table as tables
from rosemarydeal.policy.keyranges.grant_terms import GrantTerms
from rosemarydeal.policy.keyranges.unanswered_grants import UnansweredGrants

from .upstream import UpstreamWatch

__all__ = ["CallGrantCarrier", "Grant", "GrantWithheld"]

GRANT_TIMEOUT_S = 0.4
# A third of a grant's hold, so that two renewals may be lost.
RENEW_AFTER_S = 1.6
GRANT_RETRY_S = 0.15
# Pause after a refused token, until a new token has been written.
REFUSED_PAUSE_S = 1.0
RELEASE_TIMEOUT_S = 1.5
# Covers the delay between the check of a grant and the start of a request.
HOLD_MARGIN_S = 0.1
# Shorter grants would serve nothing.
MIN_HOLD_S = 2 * HOLD_MARGIN_S

_log = structlog.get_logger()


@dataclass(slots=True)
class Grant:
    """A key range granted to the upstream.

    Attributes:
        keys: The range.
        valid_until: Time until which the upstream certainly holds the keys.
        may_hold_until: Latest time at which the upstream may hold the keys.
        renew_at: Time of the next renewal.
        call_pending: Whether a grant call is in flight.
    """

    keys: KeyRange
    valid_until: float = 0.0
    may_hold_until: float = 0.0
    renew_at: float = 0.0
    call_pending: bool = False


@dataclass(slots=True)
class _GrantCall:
    """One grant call.

    Attributes:
        grant: What it grants or renews.
        number: Its number among the grants that may be unanswered.
        sent_at: When it was written, None if it was not.
        hold_s: How long it lets the upstream hold the keys, from its arrival.
        lapsed: Whether the upstream did not certainly hold the keys at that time.
        terms: What it rests on.
    """

    grant: Grant
    number: int
    sent_at: float | None = None
    hold_s: float = 0.0
    lapsed: bool = False
    terms: GrantTerms | None = None


class GrantWithheld(CodedError):
    """A grant was decided, and must not be sent any more."""

    code = "grant-withheld"


class CallGrantCarrier:
    """Grants the ranges that the upstream serves by calling it."""

    def __init__(
        self,
        client: UpstreamClient,
        watch: UpstreamWatch,
        max_hold_s: float,
        on_call_ended: Callable[[], None],
        on_refused: Callable[[], None],
    ) -> None:
        """Creates an empty set of grants.

        Args:
            client: Client of the upstream.
            watch: State of the upstream.
            max_hold_s: Longest duration of a grant. The upstream may hold keys that
                the VM's former process granted until this process started.
            on_call_ended: Called after each grant call, whatever its result.
            on_refused: Called when the upstream has seen a higher token.
        """
        self._client = client
        self._watch = watch
        self._on_call_ended = on_call_ended
        self._on_refused = on_refused
        self._predecessor_until = now() + max_hold_s * (1 + ownership_lease.CLOCK_DRIFT)
        self._held_until = self._predecessor_until
        self._unanswered = UnansweredGrants(self._predecessor_until)
        self._call_ended = asyncio.Event()
        self._terms: GrantTerms | None = None
        self._withheld = 0
        # When a call last found that the upstream does not listen.
        self._refused_at = -math.inf
        self._grants: dict[tuple[int, int, int], Grant] = {}
        self._calls: dict[asyncio.Task[None], Grant] = {}

    @property
    def may_hold(self) -> bool:
        """Returns whether the upstream may hold any key."""
        return bool(self._calls) or now() <= self._held_until

    @property
    def withheld(self) -> int:
        """Returns how many grants were decided and not sent."""
        return self._withheld

    def allows(self, key: int, token: int) -> bool:
        """Returns whether the upstream certainly holds a key under a token."""
        for grant in self._grants.values():
            if key in grant.keys and grant.keys.token == token:
                return now() < grant.valid_until - HOLD_MARGIN_S
        return False

    def clear(self, silent: bool) -> None:
        """Makes all grants unusable; called when the upstream is gone.

        Args:
            silent: Whether it may still run and hold its keys.
        """
        if not silent:
            self._grants.clear()
        for grant in self._grants.values():
            grant.valid_until = 0.0
            grant.renew_at = 0.0

    def update(self, ranges: Sequence[KeyRange], terms: GrantTerms) -> None:
        """Grants new ranges and renews the grants that are due.

        Args:
            ranges: All ranges that the upstream is to hold.
            terms: The lease and the table under which it is to hold them.
        """
        self._terms = terms
        self._retain(ranges)
        state = self._watch.state
        moment = now()
        if state is None or not state.alive or terms.duration_s(moment) < MIN_HOLD_S:
            return
        if state.last_heartbeat_at <= self._refused_at:
            return
        for grant in self._grants.values():
            if grant.keys.incarnation != state.incarnation or grant.call_pending:
                continue
            if moment >= grant.renew_at:
                grant.call_pending = True
                call = asyncio.create_task(self._call_grant(grant))
                self._calls[call] = grant
                call.add_done_callback(self._calls.pop)

    def invalidate(self, parts: Sequence[KeyRange]) -> None:
        """Marks released ranges as not granted, so that owned ones are regranted."""
        for grant in self._grants.values():
            if any(tables.overlaps(grant.keys, keys) for keys in parts):
                grant.valid_until = 0.0
                grant.renew_at = 0.0

    def answer(self, heartbeat: Announcement) -> GrantStatement | None:
        """Returns None: heartbeats carry no grants."""
        return None

    def may_take_later(self, keys: KeyRange) -> bool:
        """Returns whether a grant without an answer may still take effect."""
        return self._unanswered.until(keys) > now()

    def limit_former_tokens(self, top_token: int) -> None:
        """Notes the highest token that the VM's former process may have granted."""
        self._unanswered.limit_tokens(top_token)

    async def wait_calls(self, ranges: Sequence[KeyRange]) -> None:
        """Waits until the calls in flight that grant keys of ranges have ended."""
        for keys in ranges:
            await self._wait_calls(keys)

    async def wait_superseded(
        self, ranges: Sequence[KeyRange], timeout_s: float
    ) -> None:
        """Waits until no grant without an answer can take effect on ranges.

        The ranges are granted meanwhile, under tokens that were issued after them.
        """
        try:
            async with asyncio.timeout(timeout_s):
                while any(map(self.may_take_later, ranges)):
                    self._call_ended.clear()
                    await self._call_ended.wait()
        except TimeoutError:
            return

    def release(
        self, keys: KeyRange
    ) -> Coroutine[None, None, tuple[tuple[KeyRange, str], ...]]:
        """Releases a range, or waits until its grants expire if no call is answered.

        The grants that cover the keys are taken when this is called, as the next
        update removes them.

        Returns:
            The released keys with the hand-over token that saves their next owner
            the warm-up, or "".
        """
        covering = [g for g in self._grants.values() if tables.overlaps(g.keys, keys)]
        return self._release_covered(keys, covering)

    async def _release_covered(
        self, keys: KeyRange, covering: Sequence[Grant]
    ) -> tuple[tuple[KeyRange, str], ...]:
        """Releases a range whose keys the given grants cover."""
        if not covering and not self.may_take_later(keys):
            return ((keys, ""),)
        return ((keys, await self._call_release(keys, covering)),)

    async def _call_release(self, keys: KeyRange, covering: Sequence[Grant]) -> str:
        """Calls the upstream until it has released a range; returns its token."""
        began_at, answered = now(), False
        # A renewal in flight could reach the upstream after the release. It may be one
        # of the range before it was split.
        covering = [*covering, *await self._wait_calls(keys)]
        handover = ""
        while self._may_hold(covering):
            try:
                handover = await self._client.release(keys, RELEASE_TIMEOUT_S)
                answered = True
                break
            except UpstreamCallFailed as error:
                _log.info("release_unanswered", detail=error.detail)
                if error.refused:
                    self._watch.report_call_refused()
                if now() > self._latest_end(covering):
                    return ""
                await asyncio.sleep(GRANT_RETRY_S)
        # An unanswered grant could take effect after the release.
        unanswered_s = self._unanswered.until(keys) - now()
        waited_s = max(0.0, unanswered_s) if self._may_hold(covering) else 0.0
        if waited_s > 0:
            await asyncio.sleep(waited_s)
        _log.info(
            "keys_released",
            first=keys.first,
            last=keys.last,
            token=keys.token,
            answered=answered,
            handover=bool(handover),
            took_s=round(now() - began_at, 3),
            waited_for_grants_s=round(waited_s, 3),
        )
        return handover

    async def _wait_calls(self, keys: KeyRange) -> list[Grant]:
        """Waits for the calls that grant keys of a range; returns their grants."""
        pending_calls = {
            call: grant
            for call, grant in self._calls.items()
            if tables.overlaps(grant.keys, keys)
        }
        if pending_calls:
            await asyncio.wait(pending_calls)
        return list(pending_calls.values())

    async def close(self) -> None:
        """Cancels all calls in flight."""
        calls = list(self._calls)
        for call in calls:
            call.cancel()
        await asyncio.gather(*calls, return_exceptions=True)

    def _retain(self, ranges: Sequence[KeyRange]) -> None:
        """Keeps the grants of the given ranges and removes all others.

        A part of a granted range counts as granted, with the times of the whole.
        """
        old = self._grants
        self._grants = {}
        for keys in ranges:
            grant = old.get(_grant_key(keys))
            if grant is None:
                grant = Grant(keys, may_hold_until=self._predecessor_until)
                for previous in old.values():
                    if tables.overlaps(previous.keys, keys):
                        _inherit(grant, previous)
            self._grants[_grant_key(keys)] = grant

    async def _call_grant(self, grant: Grant) -> None:
        """Sends a grant to the upstream and records how long it holds."""
        call = _GrantCall(grant, self._unanswered.begin(grant.keys, now()))
        answered, arrived = False, True
        try:
            await self._client.grant(
                grant.keys,
                self._watch.state.announcement.instance,
                partial(self._issue, call),
                GRANT_TIMEOUT_S,
            )
            answered = True
            self._apply_granted(call)
        except GrantWithheld as error:
            self._withheld += 1
            _log.warning("grant_withheld", reason=error.detail, token=grant.keys.token)
            grant.renew_at = now() + GRANT_RETRY_S
        except GrantRefused as error:
            answered = True
            _log.warning("grant_refused", detail=error.detail)
            grant.renew_at = now() + REFUSED_PAUSE_S
            self._on_refused()
        except UpstreamCallFailed as error:
            grant.renew_at = now() + GRANT_RETRY_S
            arrived = error.sent
            _log_unanswered(call, error)
            if error.refused and self._watch.is_current(grant.keys.incarnation):
                self._refused_at = now()
                self._watch.report_call_refused()
        finally:
            grant.call_pending = False
            if call.sent_at is not None and arrived:
                self._note_latest_end(call)
            if answered or call.sent_at is None or not arrived:
                self._unanswered.end_answered(call.number)
            else:
                self._unanswered.end_unanswered(call.number, _latest_end(call))
            self._call_ended.set()
        self._on_call_ended()

    def _issue(self, call: _GrantCall) -> float:
        """Returns the duration of a grant that is written now, in seconds.

        The process may have been paused since the grant was decided, and the range
        may have been given away or split while the connection was opened.

        Raises:
            GrantWithheld: The upstream is not to hold the range any more.
        """
        keys, state, moment = call.grant.keys, self._watch.state, now()
        if self._grants.get(_grant_key(keys)) is not call.grant:
            raise GrantWithheld("range-changed")
        if not state.alive or state.incarnation != keys.incarnation:
            raise GrantWithheld("upstream-changed")
        hold_s = self._terms.duration_s(moment)
        if hold_s < MIN_HOLD_S:
            raise GrantWithheld("lease-expired")
        call.sent_at, call.hold_s, call.terms = moment, hold_s, self._terms
        call.lapsed = call.grant.valid_until < moment
        return hold_s

    def _apply_granted(self, call: _GrantCall) -> None:
        """Records that the upstream has taken a grant."""
        grant = call.grant
        grant.valid_until = max(grant.valid_until, call.sent_at + call.hold_s)
        grant.renew_at = call.sent_at + RENEW_AFTER_S
        self._unanswered.supersede(grant.keys)
        if call.lapsed:
            _log_granted(call)

    def _note_latest_end(self, call: _GrantCall) -> None:
        """Records how long a grant whose call has ended may be in effect.

        The call may have arrived just now, and the upstream's clock be slow. The range
        may have been split during the call, so that other grants have its keys now.
        """
        latest_end = _latest_end(call)
        self._held_until = max(self._held_until, latest_end)
        for current in (call.grant, *self._grants.values()):
            if not tables.overlaps(current.keys, call.grant.keys):
                continue
            current.may_hold_until = max(current.may_hold_until, latest_end)

    def _may_hold(self, covering: Sequence[Grant]) -> bool:
        """Returns whether an upstream at the address may hold the keys of grants."""
        state = self._watch.state
        if state is None or state.alive:
            return state is not None
        return state.silent and now() <= self._latest_end(covering)

    def _latest_end(self, covering: Sequence[Grant]) -> float:
        """Returns until when the upstream may hold the keys of grants."""
        ends = [grant.may_hold_until for grant in covering]
        return max(ends, default=self._predecessor_until)


def _inherit(grant: Grant, previous: Grant) -> None:
    """Carries the times of a grant over to a later one of some of its keys."""
    if tables.covers(previous.keys, grant.keys):
        grant.valid_until = previous.valid_until
    grant.may_hold_until = max(grant.may_hold_until, previous.may_hold_until)


def _grant_key(keys: KeyRange) -> tuple[int, int, int]:
    """Returns the dictionary key of a grant."""
    return keys.first, keys.last, keys.token


def _latest_end(call: _GrantCall) -> float:
    """Returns how long a grant may be in effect whose call may arrive until now."""
    return now() + call.hold_s * (1.0 + ownership_lease.CLOCK_DRIFT)


def _log_unanswered(call: _GrantCall, error: UpstreamCallFailed) -> None:
    """Logs a grant without an answer and how long it may be in effect."""
    keys = call.grant.keys
    may_apply = call.sent_at is not None and error.sent
    _log.info(
        "grant_unanswered",
        first=keys.first,
        last=keys.last,
        token=keys.token,
        may_hold_s=round(_latest_end(call) - now(), 3) if may_apply else 0.0,
        detail=error.detail,
    )


def _log_granted(call: _GrantCall) -> None:
    """Logs a grant of keys that the upstream did not certainly hold."""
    keys = call.grant.keys
    _log.info(
        "keys_granted",
        first=keys.first,
        last=keys.last,
        token=keys.token,
        handover=bool(keys.handover),
        hold_s=call.hold_s,
        **call.terms.log_fields(call.sent_at),
    )
