"""Names the HTTP headers that rosemarydeal gives a meaning to.

All names are in lower case, as h11 hands them over, so that they can be
compared as they are.
"""

from __future__ import annotations

__all__ = [
    "ATTEMPT",
    "ATTEMPT_FIRST",
    "ATTEMPT_RESENT",
    "CODE",
    "DEADLINE_MS",
    "GRANT",
    "HOPS",
    "IDEMPOTENCY_KEY",
    "ID_AGE_MS",
    "OUTCOME",
    "OUTCOME_ANSWER",
    "OUTCOME_NOT_RUN",
    "OUTCOME_UNKNOWN",
    "OWNER",
    "PRIVATE_HEADERS",
    "RETRY_AFTER",
    "TENANT",
    "TICKET",
]

IDEMPOTENCY_KEY = b"idempotency-key"
"""Id of a request; a repeat with the same id never runs twice."""

ATTEMPT = b"rosemarydeal-attempt"
"""Says whether an earlier try with the same id may have reached an upstream."""

ATTEMPT_FIRST = b"first"
ATTEMPT_RESENT = b"resent"

ID_AGE_MS = b"rosemarydeal-id-age-ms"
"""Time since the request's id was made, by the caller's clock, in ms."""

DEADLINE_MS = b"rosemarydeal-deadline-ms"
"""Time that remains for the whole exchange, in milliseconds."""

OUTCOME = b"rosemarydeal-outcome"
"""Outcome of the request: one of the three values below."""

OUTCOME_ANSWER = b"answer"
OUTCOME_NOT_RUN = b"not-run"
OUTCOME_UNKNOWN = b"unknown"

CODE = b"rosemarydeal-code"
"""Stable code of a refusal, listed in docs/CODES.md."""

RETRY_AFTER = b"retry-after"
"""Seconds after which a request that did not run is worth sending again."""

OWNER = b"rosemarydeal-owner"
"""Entry that answered a request that was passed on, as `host:port`; a hint."""

HOPS = b"rosemarydeal-hops"
"""Number of guards that the request has passed."""

TICKET = b"rosemarydeal-ticket"
"""Token of the slice to which the first try of a request was bound."""

TENANT = b"rosemarydeal-tenant"
"""Tenant on whose behalf the request is made."""

GRANT = b"rosemarydeal-grant"
"""Fencing token sent to the upstream, whose deadline is the rest of the lease."""

PRIVATE_HEADERS = frozenset({HOPS, GRANT})
"""Headers that only guards set; an entry removes them from callers' requests."""
