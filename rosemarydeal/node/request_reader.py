"""Reads callers' requests, with bodies that the memory of the process can hold."""

from __future__ import annotations

import structlog

from rosemarydeal.core.clock import now
from rosemarydeal.core.fleet import Configuration
from rosemarydeal.core.requests import CallerRequest, NotServed
from rosemarydeal.platform import callers
from rosemarydeal.platform.errors import Unreadable
from rosemarydeal.policy.requests import attempts
from rosemarydeal.proxy import BodyBuffers, BodyRoom, NoBodyRoom, Request, Response

from .memory import NO_MEMORY
from .metrics import Metrics

__all__ = ["RequestReader"]

# The configuration is usually known a moment after the start.
NOT_CONFIGURED = NotServed("not-configured", 0.5)

_log = structlog.get_logger()


class RequestReader:
    """Reads requests and refuses those that can't be read or kept."""

    def __init__(self, bodies: BodyBuffers, metrics: Metrics) -> None:
        """Creates a reader.

        Args:
            bodies: Room that the bodies of all requests share.
            metrics: Counts the refused requests.
        """
        self._bodies = bodies
        self._metrics = metrics

    def room(self) -> BodyRoom:
        """Returns the room of a request's body, to be held until its answer."""
        return self._bodies.room()

    async def read(
        self, request: Request, configuration: Configuration | None, room: BodyRoom
    ) -> CallerRequest | Response:
        """Reads a request with its whole body.

        Args:
            request: The request.
            configuration: Has the limit of bodies; None if it is not known yet, and
                then the request is refused unread, as it may be within the limits.
            room: Room of its body.

        Returns:
            The request, or the response that refuses it.
        """
        arrived_at = now()
        if configuration is None:
            return self._refuse_unread(request)
        body_limit = configuration.limits.body_bytes
        try:
            return await callers.decode_request(request, body_limit, room)
        except Unreadable as error:
            _log.info("request_unreadable", code=error.code, detail=error.detail)
            return callers.malformed(error)
        except NoBodyRoom as error:
            return self._refuse_body(callers.request_id(request), error, arrived_at)

    def _refuse_unread(self, request: Request) -> Response:
        """Refuses a request while its route and its limits are not known."""
        request_id = callers.request_id(request)
        label, code = attempts.outcome_labels(NOT_CONFIGURED)
        self._metrics.count_request("", "", label, code, 0.0)
        _log.info("request", request_id=request_id, outcome=label, code=code)
        return callers.respond(request_id, NOT_CONFIGURED)

    def _refuse_body(
        self, request_id: str, error: NoBodyRoom, arrived_at: float
    ) -> Response:
        """Refuses a request whose body does not fit into the memory now."""
        label, code = attempts.outcome_labels(NO_MEMORY)
        self._metrics.count_request("", "", label, code, now() - arrived_at)
        _log.warning(
            "request_body_refused",
            request_id=request_id,
            detail=error.detail,
            left_bytes=self._bodies.left_bytes,
        )
        return callers.respond(request_id, NO_MEMORY)
