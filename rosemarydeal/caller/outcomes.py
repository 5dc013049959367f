"""Maps responses and connection failures to the three outcomes."""

from __future__ import annotations

import msgspec

from rosemarydeal.core import Answer, NotRun, Outcome, Unknown
from rosemarydeal.core import headers as names
from rosemarydeal.proxy import (
    BodyTooLarge,
    ConnectFailed,
    ProxyError,
    ProxyTimeout,
    Response,
    find_header,
    read_bytes,
)

__all__ = ["outcome_of_failure", "read_outcome"]

MAX_PROBLEM_BYTES = 65_536


async def read_outcome(response: Response, max_bytes: int) -> Outcome:
    """Reads a response to its end and returns its outcome.

    Args:
        response: The response.
        max_bytes: Maximum size of an answer's body.

    Returns:
        The outcome, unknown if the response does not state one.

    Raises:
        ProxyError: The body is incomplete.
    """
    async with response:
        outcome_header = find_header(response.headers, names.OUTCOME)
        if outcome_header == names.OUTCOME_ANSWER:
            return await _read_answer(response, max_bytes)
        code = (find_header(response.headers, names.CODE) or b"").decode("latin-1")
        detail = await _read_detail(response)
    if outcome_header == names.OUTCOME_NOT_RUN:
        return NotRun(code, detail, _retry_after(response))
    if outcome_header == names.OUTCOME_UNKNOWN:
        return Unknown(code, detail)
    return Unknown("outcome-missing", f"status {response.status} without an outcome")


def outcome_of_failure(error: ProxyError) -> NotRun | Unknown:
    """Returns the outcome that a connection failure implies.

    Args:
        error: The failure.

    Returns:
        `NotRun` only if no byte of the request can have been sent.
    """
    sent = getattr(error, "sent", True)
    match error:
        case ConnectFailed():
            return NotRun("connect-failed", error.detail)
        case ProxyTimeout() if not sent:
            return NotRun("deadline-passed", error.detail)
        case _ if not sent:
            return NotRun("not-sent", error.detail)
        case _:
            return Unknown(error.code, error.detail)


async def _read_answer(response: Response, max_bytes: int) -> Answer | Unknown:
    """Reads the whole body of an answer."""
    try:
        body = await read_bytes(response.body, max_bytes)
    except BodyTooLarge as error:
        return Unknown("response-broken", error.detail)
    return Answer(response.status, response.headers, body)


async def _read_detail(response: Response) -> str:
    """Returns the detail of a problem document, empty if there is none."""
    try:
        problem = msgspec.json.decode(
            await read_bytes(response.body, MAX_PROBLEM_BYTES)
        )
    except (ProxyError, msgspec.DecodeError, UnicodeDecodeError):
        return ""
    detail = problem.get("detail") if isinstance(problem, dict) else None
    return detail if isinstance(detail, str) else ""


def _retry_after(response: Response) -> float:
    """Returns the value of Retry-After in seconds, 0 if it is missing or invalid."""
    value = find_header(response.headers, names.RETRY_AFTER) or b""
    return float(value) if value.isdigit() and len(value) < 10 else 0.0
