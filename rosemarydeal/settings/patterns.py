"""Matches request paths against the patterns of settings files.

In a pattern `*` stands for any text within one segment, `**` for any text,
and `/**` at the end covers the path before it too. A request's path is
compared in its canonical form, so that another spelling of the same path
can't slip past a rule.
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
    """Returns a request target's path in one spelling.

    Args:
        target: The target as the caller wrote it, with or without query.

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
    """Says whether the target's path is spelled in the canonical form.

    Args:
        target: The target as the caller wrote it, with or without query.

    Returns:
        False where two readers could take the path for different ones.
    """
    raw_path = target.partition("?")[0]
    if AMBIGUOUS_SPELLING.search(raw_path):
        return False
    path = unquote(raw_path)
    return path in (canonical_path(target), canonical_path(target) + "/")


@dataclass(frozen=True, slots=True)
class PathPattern:
    """Holds a pattern in its written form and ready to match."""

    text: str
    _matcher: re.Pattern[str] = field(init=False, repr=False, compare=False)

    def __post_init__(self) -> None:
        """Compiles the pattern once."""
        object.__setattr__(self, "_matcher", _compile(self.text))

    def matches(self, path: str) -> bool:
        """Says whether the pattern covers a canonical path."""
        return self._matcher.fullmatch(path) is not None


def _compile(pattern: str) -> re.Pattern[str]:
    """Translates a pattern to a regular expression."""
    if pattern.endswith(SUBTREE_SUFFIX):
        return re.compile(
            _translate(pattern.removesuffix(SUBTREE_SUFFIX)) + "(/.*)?", DOTALL
        )
    return re.compile(_translate(pattern.rstrip("/") or "/"), DOTALL)


def _translate(pattern: str) -> str:
    """Translates text and wildcards, one after the other."""
    parts: list[str] = []
    end = 0
    for wildcard in WILDCARD.finditer(pattern):
        parts.append(re.escape(pattern[end : wildcard.start()]))
        parts.append(".*" if wildcard.group() == "**" else "[^/]*")
        end = wildcard.end()
    parts.append(re.escape(pattern[end:]))
    return "".join(parts)
