"""Responses for requests that did not run or whose outcome is unknown."""

from __future__ import annotations

import math

from rosemarydeal.core import NotRun, Unknown
from rosemarydeal.core import headers as names
from rosemarydeal.core.codes import find_code

from .message import Headers, Response, problem_response

__all__ = ["refusal_response"]


def refusal_response(outcome: NotRun | Unknown, headers: Headers = ()) -> Response:
    """Builds the error response for an outcome.

    Args:
        outcome: Outcome of the request.
        headers: Further headers.

    Returns:
        A problem+json response with the outcome and code headers, and with
        Retry-After if the outcome gives a time.
    """
    match outcome:
        case NotRun():
            outcome_value = names.OUTCOME_NOT_RUN
        case Unknown():
            outcome_value = names.OUTCOME_UNKNOWN
    code = find_code(outcome.code, outcome_value.decode())
    fields = ((names.OUTCOME, outcome_value), (names.CODE, outcome.code.encode()))
    if isinstance(outcome, NotRun) and outcome.retry_after > 0:
        seconds = b"%d" % math.ceil(outcome.retry_after)
        fields = (*fields, (names.RETRY_AFTER, seconds))
    detail = outcome.detail or code.meaning
    return problem_response(code.status, outcome.code, detail, fields + headers)
