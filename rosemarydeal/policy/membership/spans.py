"""Tracks from which revision on a reader's next message contains all changes.

A reader sends only what its own watches return. Watches that return nothing extend
the span of its next message; changes that it learned from another reader do not, as
its message lacks them, and a receiver that missed them has to notice.
"""

from __future__ import annotations

from dataclasses import dataclass

from rosemarydeal.core.fleet import Revision

__all__ = ["ChangeSpans"]


@dataclass(frozen=True, slots=True)
class _Span:
    """Revisions of one kind.

    Attributes:
        since: Revision from which on all changes are in the next message.
        until: Revision up to which the own watches have returned.
    """

    since: Revision
    until: Revision


class ChangeSpans:
    """Spans of the changes that have not been sent yet, by kind."""

    def __init__(self) -> None:
        self._spans: dict[str, _Span] = {}

    def extend(self, kind: str, start: Revision, end: Revision) -> Revision:
        """Adds a watch that returned all changes between two revisions.

        Returns:
            The revision from which on the next message contains all changes.
        """
        span = self._spans.get(kind)
        since = span.since if span is not None and span.until == start else start
        self._spans[kind] = _Span(since, end)
        return since

    def begin(self, kind: str, revision: Revision) -> None:
        """Starts a new span after a message, or after a listing of the kind."""
        self._spans[kind] = _Span(revision, revision)
