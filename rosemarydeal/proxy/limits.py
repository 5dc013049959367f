"""Defines the limits of the connections with callers."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["HttpLimits"]


@dataclass(frozen=True, slots=True)
class HttpLimits:
    """Limits what a caller may take of a process's memory and time.

    Attributes:
        header_bytes: Longest head of a request.
        body_bytes: Longest body of a request.
        connections_per_address: Connections from one IP number.
        header_time_s: Time from the first byte of a head to its last.
        idle_time_s: Time that a connection may stay without a request.
        write_time_s: Time within which a caller has to take written bytes.
        body_read_time_s: Time within which a caller has to send more body.
    """

    header_bytes: int = 16_384
    body_bytes: int = 16_777_216
    connections_per_address: int = 1_024
    header_time_s: float = 10.0
    idle_time_s: float = 75.0
    write_time_s: float = 30.0
    body_read_time_s: float = 30.0
