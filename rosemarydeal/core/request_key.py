"""Finds the key of a request, the same way at the caller and at the guards."""

from __future__ import annotations

from dataclasses import dataclass
from urllib.parse import parse_qsl, unquote

__all__ = ["KeyRule", "request_key"]

EMPTY_SEGMENTS = frozenset({"", ".", ".."})
SEPARATORS = frozenset("/\\\0")


@dataclass(frozen=True, slots=True)
class KeyRule:
    """Says where requests carry their key; exactly one place is set.

    Attributes:
        header: Name of a header, else empty.
        segment: Number of a segment of the path, counted from 0, else -1.
        query: Name of a parameter of the query, else empty.
    """

    header: str = ""
    segment: int = -1
    query: str = ""


def request_key(
    rule: KeyRule, target: bytes, headers: tuple[tuple[bytes, bytes], ...]
) -> str | None:
    """Returns the key of a request.

    A key that stands there twice is no key, since the upstream could read the
    other one.

    Args:
        rule: Where the key is.
        target: Request target.
        headers: Headers, their names in lower case.

    Returns:
        The key, or None if there is none, or more than one.
    """
    if rule.header:
        name = rule.header.lower().encode()
        found = [value.decode("latin-1") for field, value in headers if field == name]
    else:
        path, _, query = target.decode("latin-1").partition("?")
        found = _from_path(path, rule.segment)
        if rule.query:
            pairs = parse_qsl(query, keep_blank_values=True, errors="surrogateescape")
            found = [value for name, value in pairs if name == rule.query]
    if len(found) != 1 or not found[0]:
        return None
    return found[0]


def _from_path(path: str, segment: int) -> list[str]:
    """Returns the segment of a path, if it is there and can't be read otherwise."""
    segments = path.removeprefix("/").split("/")
    if not 0 <= segment < len(segments):
        return []
    decoded = [
        unquote(part, errors="surrogateescape") for part in segments[: segment + 1]
    ]
    if any(part in EMPTY_SEGMENTS or SEPARATORS & set(part) for part in decoded):
        return []
    return [decoded[segment]]
