"""Reads callers' requests, with bodies that the memory of the process can hold."""

from __future__ import annotations

import structlog

from rosemarydeal.core.clock import now
from rosemarydeal.core.fleet import Configuration
from rosemarydeal.core.requests import CallerRequest
from rosemarydeal.platform import callers
from rosemarydeal.platform.errors import Unreadable
from rosemarydeal.policy.requests import attempts
from rosemarydeal.proxy import BodyBuffers, BodyRoom, NoBodyRoom, Request, Response

from .memory import NO_MEMORY
from .metrics import Metrics

__all__ = ["RequestReader"]

# Body limit while there is no configuration.
UNCONFIGURED_BODY_BYTES = 1_048_576

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
            configuration: Has the limit of bodies; None if it is not known yet.
            room: Room of its body.

        Returns:
            The request, or the response that refuses it.
        """
        arrived_at = now()
        body_limit = (
            configuration.limits.body_bytes
            if configuration
            else UNCONFIGURED_BODY_BYTES
        )
        try:
            return await callers.decode_request(request, body_limit, room)
        except Unreadable as error:
            _log.info("request_unreadable", code=error.code, detail=error.detail)
            return callers.malformed(error)
        except NoBodyRoom as error:
            return self._refuse_body(callers.request_id(request), error, arrived_at)

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
