"""Requests in the dispatch queue, and what the queue decides about them."""

from __future__ import annotations

import math
from dataclasses import dataclass
from enum import Enum, auto

from rosemarydeal.core.requests import NotServed

__all__ = ["Admission", "Decision", "QueuedRequest", "Reject", "Start", "Started"]


class Admission(Enum):
    """Whether a request may run here now, by the ownership of its key.

    Attributes:
        RUN: It may run now.
        WAIT: It waits until this upstream may run requests for the key.
        ELSEWHERE: Another upstream owns the key.
    """

    RUN = auto()
    WAIT = auto()
    ELSEWHERE = auto()


@dataclass(frozen=True, slots=True)
class QueuedRequest:
    """A request that waits for the upstream.

    Attributes:
        number: Identifier assigned by the owner of the queue.
        route: Name of its route, whose requests have similar service times.
        rank: Priority of the route; 0 is the most urgent.
        key: Key of the request, if any.
        arrived: Time of arrival.
        target_at: End of its latency target, after which an answer is worth less.
        deadline: Time after which nobody waits for the answer.
        request_id: Id of the request, for log lines.
        cut_at: When its sender cuts its connections; infinite unless it is stopping.
    """

    number: int
    route: str
    rank: int
    key: int | None
    arrived: float
    target_at: float
    deadline: float
    request_id: str = ""
    cut_at: float = math.inf


@dataclass(frozen=True, slots=True)
class Started:
    """A request that was started.

    Attributes:
        route: Name of its route.
        at: When it was started.
        request_id: Its id.
    """

    route: str
    at: float
    request_id: str


@dataclass(frozen=True, slots=True)
class Start:
    """Decision to send a request to the upstream now."""

    number: int


@dataclass(frozen=True, slots=True)
class Reject:
    """Decision to reject a request without running it."""

    number: int
    outcome: NotServed


Decision = Start | Reject
