"""Limits of connections with callers."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["HttpLimits"]


@dataclass(frozen=True, slots=True)
class HttpLimits:
    """Limits of the memory and time that a caller can occupy in a process.

    Attributes:
        header_bytes: Maximum size of the head of a request.
        body_bytes: Maximum size of the body of a request.
        connections_per_address: Maximum number of connections from one IP address.
        header_time_s: Maximum time from the first byte of a head to its last.
        idle_time_s: Time after which a connection without a request is closed.
        write_time_s: Maximum time for which a caller may leave written bytes
            unread.
        body_read_time_s: Maximum time to wait for the next piece of a body.
    """

    header_bytes: int = 16_384
    body_bytes: int = 16_777_216
    connections_per_address: int = 1_024
    header_time_s: float = 10.0
    idle_time_s: float = 75.0
    write_time_s: float = 30.0
    body_read_time_s: float = 30.0
