"""Defines what a caller asks and what it gets back."""

from __future__ import annotations

from dataclasses import dataclass

from rosemarydeal.core import Outcome
from rosemarydeal.proxy import Headers

__all__ = ["Call", "Reply"]


@dataclass(frozen=True, slots=True)
class Call:
    """Describes a request.

    Attributes:
        method: Method, such as `GET`.
        target: Path with or without query.
        body: The whole body.
        headers: Further headers, their names in lower case.
        deadline_s: Time for the request, with all its attempts.
        request_id: Id of an earlier call that is sent again, else empty.
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
        """Tells whether an earlier call may have reached an upstream."""
        return bool(self.request_id)


@dataclass(frozen=True, slots=True)
class Reply:
    """Gives the outcome of a call, and what is needed to send it again.

    Attributes:
        outcome: An answer, not run, or unknown.
        request_id: Id under which the request was sent.
        ticket: Ticket to which its last try was bound, None without one.
        attempts: Number of times that it was sent.
    """

    outcome: Outcome
    request_id: str
    ticket: int | None
    attempts: int
