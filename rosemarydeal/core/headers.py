"""HTTP headers that rosemarydeal reads or sets.

All names are in lower case, as h11 returns them, so that they compare directly.
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
"""Id of a request; requests with the same id run at most once."""

ATTEMPT = b"rosemarydeal-attempt"
"""Whether an earlier attempt with the same id may have reached an upstream."""

ATTEMPT_FIRST = b"first"
ATTEMPT_RESENT = b"resent"

ID_AGE_MS = b"rosemarydeal-id-age-ms"
"""Age of the request's id by the caller's clock, in milliseconds."""

DEADLINE_MS = b"rosemarydeal-deadline-ms"
"""Time left for the whole exchange, in milliseconds."""

OUTCOME = b"rosemarydeal-outcome"
"""Outcome of the request, one of the three values below."""

OUTCOME_ANSWER = b"answer"
OUTCOME_NOT_RUN = b"not-run"
OUTCOME_UNKNOWN = b"unknown"

CODE = b"rosemarydeal-code"
"""Stable code of the outcome, listed in docs/CODES.md."""

RETRY_AFTER = b"retry-after"
"""Seconds after which a request that did not run should be retried."""

OWNER = b"rosemarydeal-owner"
"""Entry that answered a forwarded request, as `host:port`; a hint only."""

HOPS = b"rosemarydeal-hops"
"""Number of guards that the request has passed through."""

TICKET = b"rosemarydeal-ticket"
"""Fencing token of the slice that the first attempt of a request was bound to."""

TENANT = b"rosemarydeal-tenant"
"""Tenant that the request is made for."""

GRANT = b"rosemarydeal-grant"
"""Fencing token for the upstream; its deadline is the remaining lease time."""

PRIVATE_HEADERS = frozenset({HOPS, GRANT})
"""Headers that only guards set; entries remove them from callers' requests."""
