"""Carries grants in the answers to the heartbeats of the upstream of this VM."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Sequence

import structlog

from rosemarydeal.core.clock import now
from rosemarydeal.core.fleet import Announcement, GrantStatement, KeyRange
from rosemarydeal.policy.keyranges.grant_terms import GrantTerms
from rosemarydeal.policy.keyranges.heartbeat_grants import (
    DELIVERY_S,
    HeartbeatGrants,
    Release,
)

from .upstream import UpstreamWatch

__all__ = ["HeartbeatGrantCarrier"]

# Period in which releases are checked for expiry while the upstream is silent.
EXPIRY_CHECK_S = 0.2

_log = structlog.get_logger()


class HeartbeatGrantCarrier:
    """States the upstream's keys in the answers to its heartbeats."""

    def __init__(
        self,
        watch: UpstreamWatch,
        max_hold_s: float,
        on_granted: Callable[[], None],
        on_refused: Callable[[], None],
    ) -> None:
        """Creates a carrier without ranges.

        Args:
            watch: State of the upstream.
            max_hold_s: Longest duration of one statement.
            on_granted: Called when the upstream may hold new keys.
            on_refused: Called when the upstream has seen a higher token.
        """
        self._watch = watch
        self._on_granted = on_granted
        self._on_refused = on_refused
        self._grants = HeartbeatGrants(now(), max_hold_s)
        self._terms: GrantTerms | None = None
        self._logged: frozenset[KeyRange] = frozenset()
        self._heartbeat_answered = asyncio.Event()

    @property
    def may_hold(self) -> bool:
        """Returns whether the upstream may hold any key."""
        return self._grants.may_hold(now())

    @property
    def withheld(self) -> int:
        """Returns 0: an answer states the keys of the moment at which it is built."""
        return 0

    def allows(self, key: int, token: int) -> bool:
        """Returns whether the upstream certainly holds a key under a token."""
        return self._grants.allows(key, token, now())

    def clear(self, silent: bool) -> None:
        """Makes all grants unusable; called when the upstream is gone.

        Args:
            silent: Whether it may still run and hold its keys.
        """
        if silent:
            self._grants.suspend()
            return
        self._grants.forget()
        self._heartbeat_answered.set()

    def update(self, ranges: Sequence[KeyRange], terms: GrantTerms) -> None:
        """Sets all ranges that the upstream is to hold, and for how long.

        Args:
            ranges: The ranges.
            terms: The lease and the table under which it is to hold them.
        """
        self._grants.set_wanted(ranges)
        self._terms = terms

    def invalidate(self, parts: Sequence[KeyRange]) -> None:
        """Does nothing: the next answer states all ranges anew."""

    def answer(self, heartbeat: Announcement) -> GrantStatement | None:
        """Applies a heartbeat; returns the statement that answers it, if any."""
        state = self._watch.state
        if state is None or not state.alive:
            return None
        moment = now()
        hold_s = self._terms.duration_s(moment) if self._terms is not None else 0.0
        statement = self._grants.answer(heartbeat, state.incarnation, hold_s, moment)
        self._heartbeat_answered.set()
        self._heartbeat_answered = asyncio.Event()
        if statement is not None:
            self._log_changes(statement)
            asyncio.get_running_loop().call_later(DELIVERY_S, self._on_granted)
        if self._grants.refused:
            _log.warning("grant_refused", instance=heartbeat.instance)
            self._on_refused()
        return statement

    def may_take_later(self, keys: KeyRange) -> bool:
        """Returns False: a heartbeat follows the answers to all earlier ones."""
        return False

    def limit_former_tokens(self, top_token: int) -> None:
        """Does nothing: no statement takes effect later."""

    async def wait_calls(self, ranges: Sequence[KeyRange]) -> None:
        """Returns at once: no call is in flight."""

    async def wait_superseded(
        self, ranges: Sequence[KeyRange], timeout_s: float
    ) -> None:
        """Returns at once: no statement takes effect later."""

    async def release(self, keys: KeyRange) -> tuple[tuple[KeyRange, str], ...]:
        """Releases a range, or waits until its grants expire.

        Returns:
            The released keys with the hand-over tokens that save their next owner
            the warm-up, or "".
        """
        release = self._grants.begin_release(keys)
        try:
            return await self._wait_released(release)
        finally:
            self._grants.remove_release(release)

    async def close(self) -> None:
        """Does nothing: no call is in flight."""

    async def _wait_released(
        self, release: Release
    ) -> tuple[tuple[KeyRange, str], ...]:
        """Waits until heartbeats, or the end of the grants, have ended a release."""
        keys, began_at = release.keys, now()
        while release.parts is None:
            try:
                async with asyncio.timeout(EXPIRY_CHECK_S):
                    await self._heartbeat_answered.wait()
            except TimeoutError:
                self._grants.end_expired(now())
        _log.info(
            "keys_released",
            first=keys.first,
            last=keys.last,
            token=keys.token,
            handover=any(token for _, token in release.parts),
            took_s=round(now() - began_at, 3),
        )
        return release.parts

    def _log_changes(self, statement: GrantStatement) -> None:
        """Logs the ranges that a statement adds or leaves out."""
        stated = frozenset(
            (keys.first, keys.last, keys.token) for keys in statement.ranges
        )
        if stated == self._logged:
            return
        _log.info(
            "keys_stated",
            added=sorted(stated - self._logged),
            left_out=sorted(self._logged - stated),
            hold_s=round(statement.hold_s, 2),
            **(self._terms.log_fields(now()) if self._terms is not None else {}),
        )
        self._logged = stated
