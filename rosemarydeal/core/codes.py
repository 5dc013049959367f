"""Lists the codes of all refusals that a caller can meet.

The list is data, so that the entry, the caller library and docs/CODES.md
can't say different things.
"""

from __future__ import annotations

from dataclasses import dataclass

from .headers import OUTCOME_NOT_RUN, OUTCOME_UNKNOWN

__all__ = ["CODES", "Code", "find_code", "render_table"]

NOT_RUN = OUTCOME_NOT_RUN.decode()
UNKNOWN = OUTCOME_UNKNOWN.decode()

SEND_AGAIN = "Send it again, after Retry-After where it is given."
SEND_AGAIN_LATER = "Send it again later, with growing pauses."
NEWER_TICKET = "Send it again without the ticket, or with a newer one."
RETRY_ADVICES = frozenset({SEND_AGAIN, SEND_AGAIN_LATER, NEWER_TICKET})
MEND_FIRST = "Change the request; sent again as it is, it is refused again."
ASK_WITH_SAME_ID = (
    "Send it again with the same Idempotency-Key to learn more; "
    "with another id only if running twice does no harm."
)
ASK_UPSTREAM = "Look up at the service what happened before sending it anew."


@dataclass(frozen=True, slots=True)
class Code:
    """Describes one refusal.

    Attributes:
        name: The code as it stands in header and body.
        status: HTTP status that goes with it.
        outcome: Outcome that it stands for: not-run or unknown.
        meaning: What happened.
        advice: What the caller may do.
    """

    name: str
    status: int
    outcome: str
    meaning: str
    advice: str

    @property
    def worth_retrying(self) -> bool:
        """Tells whether the same request may fare better soon."""
        return self.outcome == NOT_RUN and self.advice in RETRY_ADVICES

    @property
    def under_load(self) -> bool:
        """Tells whether sending again adds to a load that is too high."""
        return self.advice == SEND_AGAIN_LATER


CODES = (
    Code("bad-request", 400, NOT_RUN, "The request is not valid HTTP.", MEND_FIRST),
    Code(
        "key-missing",
        400,
        NOT_RUN,
        "The request has no key, or more than one.",
        MEND_FIRST,
    ),
    Code("tenant-refused", 403, NOT_RUN, "The tenant may not use it.", MEND_FIRST),
    Code("service-unknown", 404, NOT_RUN, "No such service is here.", MEND_FIRST),
    Code(
        "request-timeout",
        408,
        NOT_RUN,
        "The request came in too slowly.",
        SEND_AGAIN,
    ),
    Code(
        "request-id-conflict",
        409,
        NOT_RUN,
        "The id belongs to a different request.",
        "Give each request an id of its own.",
    ),
    Code(
        "stale-ticket",
        409,
        NOT_RUN,
        "The owner of the key changed since the ticket was given.",
        NEWER_TICKET,
    ),
    Code(
        "body-too-large",
        413,
        NOT_RUN,
        "The body is longer than its limit.",
        MEND_FIRST,
    ),
    Code(
        "not-owner",
        421,
        NOT_RUN,
        "The process that was asked does not own the key.",
        SEND_AGAIN,
    ),
    Code(
        "crash-suspect",
        422,
        NOT_RUN,
        "Its like was in flight when two upstreams crashed.",
        "Don't send it again; tell the operators, who can release it.",
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
        MEND_FIRST,
    ),
    Code(
        "method-not-served",
        501,
        NOT_RUN,
        "The method is not served.",
        MEND_FIRST,
    ),
    Code("connect-failed", 502, NOT_RUN, "No connection came about.", SEND_AGAIN),
    Code("not-sent", 503, NOT_RUN, "It was not sent to the upstream.", SEND_AGAIN),
    Code("no-owner", 503, NOT_RUN, "Nobody serves the key just now.", SEND_AGAIN),
    Code("draining", 503, NOT_RUN, "The process is shutting down.", SEND_AGAIN),
    Code("upstream-down", 503, NOT_RUN, "The upstream is not there.", SEND_AGAIN),
    Code(
        "upstream-shed",
        503,
        NOT_RUN,
        "The upstream refused it under load.",
        SEND_AGAIN_LATER,
    ),
    Code(
        "overloaded",
        503,
        NOT_RUN,
        "Too many requests wait for the upstream.",
        SEND_AGAIN_LATER,
    ),
    Code(
        "ledger-full",
        503,
        NOT_RUN,
        "No more request ids can be kept.",
        SEND_AGAIN_LATER,
    ),
    Code(
        "deadline-passed",
        504,
        NOT_RUN,
        "Its deadline passed before it was sent to the upstream.",
        "Send it again with more time.",
    ),
    Code(
        "hops-exceeded",
        508,
        NOT_RUN,
        "It passed too many processes without finding the owner.",
        SEND_AGAIN,
    ),
    Code(
        "request-id-expired",
        409,
        UNKNOWN,
        "The id is older than the window in which ids are kept.",
        ASK_UPSTREAM,
    ),
    Code(
        "bad-request",
        400,
        UNKNOWN,
        "The body broke off, or was framed wrongly, on its way.",
        ASK_WITH_SAME_ID,
    ),
    Code(
        "request-timeout",
        408,
        UNKNOWN,
        "The body came in too slowly.",
        ASK_WITH_SAME_ID,
    ),
    Code(
        "body-too-large",
        413,
        UNKNOWN,
        "The body went over its limit on its way.",
        ASK_WITH_SAME_ID,
    ),
    Code("internal", 500, UNKNOWN, "The router failed.", ASK_WITH_SAME_ID),
    Code("proxy-failed", 502, UNKNOWN, "The connection failed.", ASK_WITH_SAME_ID),
    Code(
        "connection-lost",
        502,
        UNKNOWN,
        "The connection to the upstream broke after it was sent.",
        ASK_WITH_SAME_ID,
    ),
    Code(
        "send-failed",
        502,
        UNKNOWN,
        "The connection broke while it was sent.",
        ASK_WITH_SAME_ID,
    ),
    Code(
        "response-broken",
        502,
        UNKNOWN,
        "The response broke off or was not valid.",
        ASK_WITH_SAME_ID,
    ),
    Code(
        "outcome-missing",
        502,
        UNKNOWN,
        "The response does not say whether the request ran.",
        ASK_WITH_SAME_ID,
    ),
    Code(
        "upstream-crashed",
        502,
        UNKNOWN,
        "The upstream crashed while the request ran.",
        ASK_UPSTREAM,
    ),
    Code(
        "answer-not-kept",
        502,
        UNKNOWN,
        "It ran; its answer is not kept any more.",
        ASK_UPSTREAM,
    ),
    Code(
        "may-have-run",
        502,
        UNKNOWN,
        "An earlier try was lost on its way.",
        ASK_UPSTREAM,
    ),
    Code(
        "owner-changed",
        502,
        UNKNOWN,
        "An earlier owner of the key may have run it.",
        ASK_UPSTREAM,
    ),
    Code(
        "upstream-timeout",
        504,
        UNKNOWN,
        "No answer came in time.",
        ASK_WITH_SAME_ID,
    ),
    Code(
        "deadline-passed",
        504,
        UNKNOWN,
        "Its deadline passed while it ran.",
        ASK_WITH_SAME_ID,
    ),
)

FALLBACKS = {
    NOT_RUN: Code("", 503, NOT_RUN, "It did not run.", SEND_AGAIN),
    UNKNOWN: Code("", 502, UNKNOWN, "It may have run.", ASK_WITH_SAME_ID),
}
_BY_NAME = {(code.name, code.outcome): code for code in CODES}


def find_code(name: str, outcome: str) -> Code:
    """Returns the entry of a code, or a general one for an unlisted code.

    Args:
        name: The code.
        outcome: not-run or unknown.
    """
    return _BY_NAME.get((name, outcome), FALLBACKS[outcome])


def render_table() -> str:
    """Returns the list as the Markdown table of docs/CODES.md."""
    lines = ["| code | status | outcome | meaning | what the caller may do |"]
    lines.append("|---|---|---|---|---|")
    for code in CODES:
        cells = (f"`{code.name}`", str(code.status), code.outcome)
        lines.append(f"| {' | '.join((*cells, code.meaning, code.advice))} |")
    return "\n".join(lines)
