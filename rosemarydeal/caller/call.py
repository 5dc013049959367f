"""Defines the calls and replies of the client library."""

from __future__ import annotations

from dataclasses import dataclass

from rosemarydeal.core import Outcome
from rosemarydeal.proxy import Headers

__all__ = ["Call", "Reply"]


@dataclass(frozen=True, slots=True)
class Call:
    """A request to a service.

    Attributes:
        method: HTTP method, such as `GET`.
        target: Path, with an optional query.
        body: The whole body.
        headers: Additional headers, with names in lower case.
        deadline_s: Time for all attempts, in seconds; None uses the default.
        request_id: Id of the earlier call that this one repeats, else empty.
        ticket: Ticket of that earlier call, None without one.
    """

    method: str
    target: str
    body: bytes = b""
    headers: Headers = ()
    deadline_s: float | None = None
    request_id: str = ""
    ticket: int | None = None

    @property
    def resent(self) -> bool:
        """Returns whether an earlier call may have reached an upstream."""
        return bool(self.request_id)


@dataclass(frozen=True, slots=True)
class Reply:
    """The outcome of a call, with the fields needed to send it again.

    Attributes:
        outcome: An answer, not run, or unknown.
        request_id: Id under which the request was sent.
        ticket: Ticket of the last attempt, None without one.
        attempts: Number of attempts made.
    """

    outcome: Outcome
    request_id: str
    ticket: int | None
    attempts: int
