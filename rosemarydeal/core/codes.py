"""Codes of all rejections and unknown outcomes that a caller can receive.

The entry, the caller library and docs/CODES.md all use this list, so that they
cannot differ.
"""

from __future__ import annotations

from dataclasses import dataclass

from .headers import OUTCOME_NOT_RUN, OUTCOME_UNKNOWN

__all__ = ["CODES", "SHED_CODE", "Code", "find_code", "render_table"]

SHED_CODE = "upstream-shed"
"""The rejection that holds for all attempts of a request: the guard had checked its
ticket, and the upstream then did not run it."""

NOT_RUN = OUTCOME_NOT_RUN.decode()
UNKNOWN = OUTCOME_UNKNOWN.decode()

RETRY = "Retry, after the time in Retry-After if the response has one."
RETRY_WITH_BACKOFF = "Retry later, with increasing delays."
RETRY_WITH_NEWER_TICKET = "Retry without the ticket, or with a newer one."
RETRY_ADVICES = frozenset({RETRY, RETRY_WITH_BACKOFF, RETRY_WITH_NEWER_TICKET})
CHANGE_REQUEST = "Change the request; an unchanged retry is rejected again."
RETRY_WITH_SAME_ID = (
    "Retry with the same Idempotency-Key to learn more; "
    "with another id only if running twice does no harm."
)
CHECK_WITH_SERVICE = "Check with the service what happened before sending it again."


@dataclass(frozen=True, slots=True)
class Code:
    """Code of a rejection or of an unknown outcome.

    Attributes:
        name: The code in header and body.
        status: HTTP status of the response.
        outcome: Outcome that the code implies: not-run or unknown.
        meaning: What happened; sent as the detail of a response that has no other.
        advice: What the caller can do.
    """

    name: str
    status: int
    outcome: str
    meaning: str
    advice: str

    @property
    def worth_retrying(self) -> bool:
        """Whether the same request may succeed if it is sent again."""
        return self.outcome == NOT_RUN and self.advice in RETRY_ADVICES

    @property
    def under_load(self) -> bool:
        """Whether the code signals overload, which a retry would add to."""
        return self.advice == RETRY_WITH_BACKOFF


CODES = (
    Code("bad-request", 400, NOT_RUN, "The request is not valid HTTP.", CHANGE_REQUEST),
    Code(
        "key-missing",
        400,
        NOT_RUN,
        "The request has no key, or more than one.",
        CHANGE_REQUEST,
    ),
    Code("tenant-refused", 403, NOT_RUN, "The tenant may not use it.", CHANGE_REQUEST),
    Code("service-unknown", 404, NOT_RUN, "No such service is here.", CHANGE_REQUEST),
    Code(
        "request-timeout",
        408,
        NOT_RUN,
        "The request came in too slowly.",
        RETRY,
    ),
    Code(
        "request-id-conflict",
        409,
        NOT_RUN,
        "The id belongs to a different request.",
        "Use a different id for each request.",
    ),
    Code(
        "stale-ticket",
        409,
        NOT_RUN,
        "The owner of the key changed since the ticket was given.",
        RETRY_WITH_NEWER_TICKET,
    ),
    Code(
        "body-too-large",
        413,
        NOT_RUN,
        "The body is longer than its limit.",
        CHANGE_REQUEST,
    ),
    Code(
        "not-owner",
        421,
        NOT_RUN,
        "The process that was asked does not own the key.",
        RETRY,
    ),
    Code(
        "crash-suspect",
        422,
        NOT_RUN,
        "Its like was in flight when two upstreams crashed.",
        "Do not retry; contact the operators, who can release the request.",
    ),
    Code(
        "too-many-connections",
        429,
        NOT_RUN,
        "The caller's address holds too many connections.",
        "Use fewer connections, and keep them alive.",
    ),
    Code(
        "header-too-large",
        431,
        NOT_RUN,
        "The headers are longer than their limit.",
        CHANGE_REQUEST,
    ),
    Code(
        "method-not-served",
        501,
        NOT_RUN,
        "The method is not served.",
        CHANGE_REQUEST,
    ),
    Code("connect-failed", 502, NOT_RUN, "No connection came about.", RETRY),
    Code("not-sent", 503, NOT_RUN, "It was not sent to the upstream.", RETRY),
    Code("no-owner", 503, NOT_RUN, "Nobody serves the key just now.", RETRY),
    Code("draining", 503, NOT_RUN, "The process is shutting down.", RETRY),
    Code("upstream-down", 503, NOT_RUN, "The upstream is not there.", RETRY),
    Code(
        SHED_CODE,
        503,
        NOT_RUN,
        "The upstream refused it under load.",
        RETRY_WITH_BACKOFF,
    ),
    Code(
        "overloaded",
        503,
        NOT_RUN,
        "Too many requests wait for the upstream.",
        RETRY_WITH_BACKOFF,
    ),
    Code(
        "ledger-full",
        503,
        NOT_RUN,
        "No more request ids can be kept.",
        RETRY_WITH_BACKOFF,
    ),
    Code(
        "deadline-passed",
        504,
        NOT_RUN,
        "Its deadline passed before it was sent to the upstream.",
        "Retry with a longer deadline.",
    ),
    Code(
        "hops-exceeded",
        508,
        NOT_RUN,
        "It passed too many processes without finding the owner.",
        RETRY,
    ),
    Code(
        "request-id-expired",
        409,
        UNKNOWN,
        "The id is older than the window in which ids are kept.",
        CHECK_WITH_SERVICE,
    ),
    Code(
        "bad-request",
        400,
        UNKNOWN,
        "The body broke off, or was framed wrongly, on its way.",
        RETRY_WITH_SAME_ID,
    ),
    Code(
        "request-timeout",
        408,
        UNKNOWN,
        "The body came in too slowly.",
        RETRY_WITH_SAME_ID,
    ),
    Code(
        "body-too-large",
        413,
        UNKNOWN,
        "The body went over its limit on its way.",
        RETRY_WITH_SAME_ID,
    ),
    Code("internal", 500, UNKNOWN, "The router failed.", RETRY_WITH_SAME_ID),
    Code("proxy-failed", 502, UNKNOWN, "The connection failed.", RETRY_WITH_SAME_ID),
    Code(
        "connection-lost",
        502,
        UNKNOWN,
        "The connection to the upstream broke after it was sent.",
        RETRY_WITH_SAME_ID,
    ),
    Code(
        "send-failed",
        502,
        UNKNOWN,
        "The connection broke while it was sent.",
        RETRY_WITH_SAME_ID,
    ),
    Code(
        "response-broken",
        502,
        UNKNOWN,
        "The response broke off or was not valid.",
        RETRY_WITH_SAME_ID,
    ),
    Code(
        "foreign-answer",
        502,
        UNKNOWN,
        "The response belongs to another request, or may do so.",
        RETRY_WITH_SAME_ID,
    ),
    Code(
        "outcome-missing",
        502,
        UNKNOWN,
        "The response does not say whether the request ran.",
        RETRY_WITH_SAME_ID,
    ),
    Code(
        "upstream-crashed",
        502,
        UNKNOWN,
        "The upstream crashed while the request ran.",
        CHECK_WITH_SERVICE,
    ),
    Code(
        "answer-not-kept",
        502,
        UNKNOWN,
        "It ran; its answer is not kept any more.",
        CHECK_WITH_SERVICE,
    ),
    Code(
        "may-have-run",
        502,
        UNKNOWN,
        "An earlier try was lost on its way.",
        CHECK_WITH_SERVICE,
    ),
    Code(
        "owner-changed",
        502,
        UNKNOWN,
        "An earlier owner of the key may have run it.",
        CHECK_WITH_SERVICE,
    ),
    Code(
        "upstream-timeout",
        504,
        UNKNOWN,
        "No answer came in time.",
        RETRY_WITH_SAME_ID,
    ),
    Code(
        "deadline-passed",
        504,
        UNKNOWN,
        "Its deadline passed while it ran.",
        RETRY_WITH_SAME_ID,
    ),
)

GENERIC_CODES = {
    NOT_RUN: Code("", 503, NOT_RUN, "It did not run.", RETRY),
    UNKNOWN: Code("", 502, UNKNOWN, "It may have run.", RETRY_WITH_SAME_ID),
}
_BY_NAME = {(code.name, code.outcome): code for code in CODES}


def find_code(name: str, outcome: str) -> Code:
    """Returns a code of the list, or a generic one for an unlisted code.

    Args:
        name: Name of the code.
        outcome: not-run or unknown.
    """
    return _BY_NAME.get((name, outcome), GENERIC_CODES[outcome])


def render_table() -> str:
    """Returns the list as the Markdown table in docs/CODES.md."""
    lines = ["| code | status | outcome | meaning | what the caller may do |"]
    lines.append("|---|---|---|---|---|")
    for code in CODES:
        cells = (f"`{code.name}`", str(code.status), code.outcome)
        lines.append(f"| {' | '.join((*cells, code.meaning, code.advice))} |")
    return "\n".join(lines)
