"""Progress of a caller's request at the process that received it."""

from __future__ import annotations

from dataclasses import dataclass

from rosemarydeal.core.fleet import Route
from rosemarydeal.core.requests import CallerRequest
from rosemarydeal.policy.requests.attempts import Attempts

__all__ = ["Progress"]


@dataclass(slots=True)
class Progress:
    """Progress of a caller's request through its attempts.

    Attributes:
        request: The request.
        fingerprint: Digest of its method, target and body.
        route: Its route.
        service: Service that runs it.
        arrived_at: Time of its arrival.
        first_arrived_at: When the rejected request that it retries arrived, if any.
        deadline: Time after which its caller stops waiting.
        attempts: The attempts so far.
    """

    request: CallerRequest
    fingerprint: str
    route: Route
    service: str
    arrived_at: float
    first_arrived_at: float | None
    deadline: float
    attempts: Attempts
