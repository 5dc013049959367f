"""Matches request paths against the patterns of settings files.

In a pattern, `*` matches any text within one segment, `**` matches any text,
and a trailing `/**` also matches the path before it. Request paths are compared
in canonical form, so that no other spelling of a path can bypass a rule.
"""

from __future__ import annotations

import re
from dataclasses import dataclass, field
from urllib.parse import unquote

__all__ = ["PathPattern", "canonical_path", "is_canonical"]

AMBIGUOUS_SPELLING = re.compile(r"%(2f|5c|2e|25|00)|[\\;]", re.IGNORECASE)
SUBTREE_SUFFIX = "/**"
DOTALL = re.DOTALL
WILDCARD = re.compile(r"\*\*|\*")


def canonical_path(target: str) -> str:
    """Returns the path of a request target in canonical form.

    Args:
        target: Target as the caller sent it, with or without a query.

    Returns:
        The decoded path without empty and dot segments.
    """
    path = unquote(target.partition("?")[0])
    segments: list[str] = []
    for segment in path.replace("\\", "/").split("/"):
        if segment == "..":
            del segments[-1:]
        elif segment not in ("", "."):
            segments.append(segment)
    return "/" + "/".join(segments)


def is_canonical(target: str) -> bool:
    """Returns whether the path of a request target is in canonical form.

    Args:
        target: Target as the caller sent it, with or without a query.

    Returns:
        False if two parsers could interpret the path differently.
    """
    raw_path = target.partition("?")[0]
    if AMBIGUOUS_SPELLING.search(raw_path):
        return False
    path = unquote(raw_path)
    return path in (canonical_path(target), canonical_path(target) + "/")


@dataclass(frozen=True, slots=True)
class PathPattern:
    """A path pattern, as text and as a compiled expression."""

    text: str
    _matcher: re.Pattern[str] = field(init=False, repr=False, compare=False)

    def __post_init__(self) -> None:
        """Compiles the pattern."""
        object.__setattr__(self, "_matcher", _compile(self.text))

    def matches(self, path: str) -> bool:
        """Returns whether the pattern matches a canonical path."""
        return self._matcher.fullmatch(path) is not None


def _compile(pattern: str) -> re.Pattern[str]:
    """Compiles a pattern to a regular expression."""
    if pattern.endswith(SUBTREE_SUFFIX):
        return re.compile(
            _translate(pattern.removesuffix(SUBTREE_SUFFIX)) + "(/.*)?", DOTALL
        )
    return re.compile(_translate(pattern.rstrip("/") or "/"), DOTALL)


def _translate(pattern: str) -> str:
    """Translates literal text and wildcards to a regular expression."""
    parts: list[str] = []
    end = 0
    for wildcard in WILDCARD.finditer(pattern):
        parts.append(re.escape(pattern[end : wildcard.start()]))
        parts.append(".*" if wildcard.group() == "**" else "[^/]*")
        end = wildcard.end()
    parts.append(re.escape(pattern[end:]))
    return "".join(parts)
