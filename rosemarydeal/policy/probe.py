"""Proof by rounds of promises that an unresponsive incarnation's lease has expired.

Promises of different rounds are not counted together, as a witness that has
restarted since may have lost its promise of an earlier round.
"""

from __future__ import annotations

from dataclasses import dataclass, replace

from immutables import Map

from rosemarydeal.core import Incarnation
from rosemarydeal.core.messages import PromiseReply, PromiseRequest

from .ownership_settings import OwnershipSettings

__all__ = ["Probe", "open_round", "record", "start"]

RETRY_MARGIN_S = 0.02


@dataclass(frozen=True, slots=True)
class Probe:
    """Rounds of promise requests about one incarnation.

    Attributes:
        target: The probed incarnation.
        witnesses: Its witness set.
        started_at: When the first round was due, in seconds.
        round: Number of the current round.
        round_started_at: When the current round was sent, in seconds.
        next_round_at: When the next round is due, in seconds.
        promises: For each witness that promised, when the last lease it granted
            expires, on the clock of this process.
        proven_expiry: When the lease has provably expired, in seconds; None until
            a majority of witnesses has promised.
    """

    target: Incarnation
    witnesses: tuple[str, ...]
    started_at: float
    round: int
    round_started_at: float
    next_round_at: float
    promises: Map = Map()
    proven_expiry: float | None = None


def start(
    target: Incarnation, witnesses: tuple[str, ...], first_round: int, now: float
) -> Probe:
    """Returns a probe whose first round is due at once.

    Args:
        target: The incarnation to probe.
        witnesses: Its witness set.
        first_round: Random number, so that replies to an earlier run of this
            process are not taken for replies to this probe.
        now: Present time, in seconds.
    """
    return Probe(target, witnesses, now, first_round, now, now)


def open_round(
    probe: Probe, settings: OwnershipSettings, now: float
) -> tuple[Probe, PromiseRequest | None]:
    """Opens the next round if one is due.

    Args:
        probe: The probe.
        settings: Times of the protocol.
        now: Present time, in seconds.

    Returns:
        The probe and the message for every witness, or None.
    """
    if probe.proven_expiry is not None or now < probe.next_round_at:
        return probe, None
    opened = replace(
        probe,
        round=probe.round + 1,
        round_started_at=now,
        promises=Map(),
        next_round_at=now + settings.window_s,
    )
    return opened, PromiseRequest(probe.target, opened.round)


def record(
    probe: Probe,
    sender: str,
    reply: PromiseReply,
    settings: OwnershipSettings,
    now: float,
) -> Probe:
    """Records a witness's reply; a majority of promises completes the proof.

    Args:
        probe: The probe that the reply is about.
        sender: The witness.
        reply: Its reply.
        settings: Times of the protocol.
        now: Present time, in seconds.
    """
    late = now > probe.round_started_at + settings.window_s
    if probe.proven_expiry is not None or sender not in probe.witnesses:
        return probe
    if late or reply.round != probe.round:
        return probe
    if not reply.promised:
        retry_at = now + reply.retry_after_s + RETRY_MARGIN_S
        return replace(probe, next_round_at=max(probe.next_round_at, retry_at))
    expires_at = now + reply.expires_after_s * settings.drift_factor
    promises = probe.promises.set(sender, expires_at)
    majority = len(probe.witnesses) // 2 + 1
    proven_expiry = max(promises.values()) if len(promises) >= majority else None
    return replace(probe, promises=promises, proven_expiry=proven_expiry)
