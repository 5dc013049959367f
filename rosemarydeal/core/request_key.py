"""Extraction of a request's key, identical in the caller library and the guards."""

from __future__ import annotations

from dataclasses import dataclass
from urllib.parse import parse_qsl, unquote

__all__ = ["KeyRule", "request_key"]

AMBIGUOUS_SEGMENTS = frozenset({"", ".", ".."})
SEPARATORS = frozenset("/\\\0")


@dataclass(frozen=True, slots=True)
class KeyRule:
    """Where requests carry their key; exactly one attribute is set.

    Attributes:
        header: Name of the header, or empty.
        segment: Index of the path segment from 0, or -1.
        query: Name of the query parameter, or empty.
    """

    header: str = ""
    segment: int = -1
    query: str = ""


def request_key(
    rule: KeyRule, target: bytes, headers: tuple[tuple[bytes, bytes], ...]
) -> str | None:
    """Returns the key of a request.

    A request with two values for its key has none, since the upstream might read
    the other one.

    Args:
        rule: Where the request carries its key.
        target: Request target.
        headers: Headers with names in lower case.

    Returns:
        The key, or None if the request has none or more than one.
    """
    if rule.header:
        name = rule.header.lower().encode()
        values = [value.decode("latin-1") for field, value in headers if field == name]
    else:
        path, _, query = target.decode("latin-1").partition("?")
        values = _from_path(path, rule.segment)
        if rule.query:
            pairs = parse_qsl(query, keep_blank_values=True, errors="surrogateescape")
            values = [value for name, value in pairs if name == rule.query]
    if len(values) != 1 or not values[0]:
        return None
    return values[0]


def _from_path(path: str, segment: int) -> list[str]:
    """Returns the decoded path segment in a list; empty if missing or ambiguous."""
    segments = path.removeprefix("/").split("/")
    if not 0 <= segment < len(segments):
        return []
    decoded = [
        unquote(part, errors="surrogateescape") for part in segments[: segment + 1]
    ]
    if any(part in AMBIGUOUS_SEGMENTS or SEPARATORS & set(part) for part in decoded):
        return []
    return [decoded[segment]]
