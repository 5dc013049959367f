"""Grants that were sent without an answer, and may take effect later.

A grant without an answer may be carried out seconds after newer ones, with its time
counted from its arrival. The process that sent it may have ended since. The upstream
refuses it once it has seen a higher token for one of its keys.

Invariant: a range is handed over only once each grant of its keys that was sent to the
upstream, by this process or its predecessor, has been answered, has expired, or would
be refused.
"""

from __future__ import annotations

import itertools
from dataclasses import dataclass, replace

from rosemarydeal.core.fleet import LAST_KEY, KeyRange

__all__ = ["UnansweredGrants"]

# Number of the grants of a predecessor.
FORMER = 0

_Span = tuple[int, int]


@dataclass(frozen=True, slots=True)
class _Sent:
    """Grants that may take effect.

    Attributes:
        spans: First and last keys for which they may.
        token: Highest token that they may have, None if it is not known.
        until: Latest end, 0 as long as an answer may come.
    """

    spans: tuple[_Span, ...]
    token: int | None
    until: float = 0.0


class UnansweredGrants:
    """Until when the grants without an answer may be in effect."""

    def __init__(self, predecessor_until: float) -> None:
        """Creates the state of a process that has just started.

        Args:
            predecessor_until: Latest end of a grant that the VM's former process sent.
        """
        self._numbers = itertools.count(1)
        # Ranges that were taken while a predecessor's tokens are not known.
        self._taken: list[KeyRange] = []
        self._sent = {FORMER: _Sent(((0, LAST_KEY),), None, predecessor_until)}

    def until(self, keys: KeyRange) -> float:
        """Returns the latest end of unanswered grants of a range; 0 without any."""
        return max(
            (
                sent.until
                for sent in self._sent.values()
                if any(_overlaps(span, keys) for span in sent.spans)
            ),
            default=0.0,
        )

    def begin(self, keys: KeyRange, now: float) -> int:
        """Notes a grant that is being sent; returns a number for it."""
        self._sent = {
            number: sent
            for number, sent in self._sent.items()
            if sent.until == 0.0 or sent.until > now
        }
        number = next(self._numbers)
        self._sent[number] = _Sent(((keys.first, keys.last),), keys.token)
        return number

    def end_answered(self, number: int) -> None:
        """Notes that a grant has been answered, or was not sent."""
        self._sent.pop(number, None)

    def end_unanswered(self, number: int, until: float) -> None:
        """Notes until when a grant may be in effect that gets no answer any more."""
        sent = self._sent.get(number)
        if sent is not None:
            self._sent[number] = replace(sent, until=until)

    def limit_tokens(self, top_token: int) -> None:
        """Notes the highest token that a predecessor may have granted.

        Args:
            top_token: Highest token of a table that was current during this process.
        """
        former = self._sent.get(FORMER)
        if former is None or former.token is not None:
            return
        self._sent[FORMER] = replace(former, token=top_token)
        taken, self._taken = self._taken, []
        for keys in taken:
            self.supersede(keys)

    def supersede(self, keys: KeyRange) -> None:
        """Notes that the upstream has taken a range under its token.

        From then on it refuses grants of these keys under lower tokens.
        """
        for number, sent in list(self._sent.items()):
            if sent.token is None:
                self._taken.append(keys)
                continue
            if sent.token >= keys.token:
                continue
            spans = [rest for span in sent.spans for rest in _subtract(span, keys)]
            if spans:
                self._sent[number] = replace(sent, spans=tuple(spans))
            else:
                del self._sent[number]


def _overlaps(span: _Span, keys: KeyRange) -> bool:
    """Returns whether a span shares a key with a range."""
    return span[0] <= keys.last and keys.first <= span[1]


def _subtract(span: _Span, keys: KeyRange) -> list[_Span]:
    """Returns the parts of a span that are not in a range."""
    if not _overlaps(span, keys):
        return [span]
    first, last = span
    parts = ((first, keys.first - 1), (keys.last + 1, last))
    return [part for part in parts if part[0] <= part[1]]
