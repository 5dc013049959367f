"""Builds HTTP responses for outcomes without an answer."""

from __future__ import annotations

import math

from rosemarydeal.core import NotRun, Unknown, headers
from rosemarydeal.core.codes import find_code
from rosemarydeal.proxy import Response, problem_response

__all__ = ["outcome_response"]


def outcome_response(outcome: NotRun | Unknown) -> Response:
    """Returns the problem response for an outcome.

    Args:
        outcome: The outcome.

    Returns:
        A response with the outcome and its code in headers and body.
    """
    match outcome:
        case NotRun(name, detail, retry_after):
            kind = headers.OUTCOME_NOT_RUN
            extra = _retry_after(retry_after)
        case Unknown(name, detail):
            kind = headers.OUTCOME_UNKNOWN
            extra = ()
    code = find_code(name, kind.decode("ascii"))
    fields = (
        (headers.OUTCOME, kind),
        (headers.CODE, name.encode("latin-1")),
        *extra,
    )
    return problem_response(code.status, name, detail or code.meaning, fields)


def _retry_after(seconds: float) -> tuple[tuple[bytes, bytes], ...]:
    """Returns the Retry-After header, rounded up to whole seconds as HTTP requires."""
    if seconds <= 0:
        return ()
    return ((headers.RETRY_AFTER, b"%d" % math.ceil(seconds)),)
