"""What an upstream that stutters does with one exchange, and how its bytes follow."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

__all__ = [
    "PAUSE",
    "Copy",
    "Ending",
    "Plan",
    "Place",
    "parts_of",
]

PAUSE = None
"""Stands between bytes for a pause in which the client reads them."""

CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"


class Place(Enum):
    """Where a copy is written, as seen from the answer of the exchange."""

    BEFORE = "before the head"
    WITHIN_HEAD = "within the head"
    BETWEEN = "between head and body"
    WITHIN_BODY = "within the body"
    AFTER = "after the answer"


class Ending(Enum):
    """What the upstream does with the connection after the answer."""

    KEEP = "keep"
    CLOSE = "close"
    RESET = "reset"


@dataclass(frozen=True)
class Copy:
    """A copy of an answer that the upstream has written before.

    Attributes:
        place: Where it is written.
        source: Number of the answer, counted back from the connection's last one.
        share: Share of its bytes that is written.
        late_rest: Whether the other bytes follow before the next answer.
        pause_before: Whether a pause precedes it; else it is in the same segment.
        pause_within: Whether it is written in two pieces.
        elsewhere: Whether another connection carried the answer, which names another
            request; only before the head.
    """

    place: Place
    source: int = 0
    share: float = 1.0
    late_rest: bool = False
    pause_before: bool = False
    pause_within: bool = False
    elsewhere: bool = False


@dataclass(frozen=True)
class Plan:
    """What an upstream does with one exchange.

    Attributes:
        status: Status of the answer.
        not_run: Whether it refuses the request, which then does not run.
        framing: How the end of its body is marked: length, chunked or close.
        body_bytes: Length of the body, in bytes.
        copies: Copies that are written around the answer.
        cut: Share of the answer that is written before the connection ends.
        stops_after_head: Whether only its head is written.
        ending: What becomes of the connection afterwards.
        announced: Whether the answer announces that the connection is closed.
        informational: Whether a 100 response precedes the answer.
        works: Whether it works for a while before it answers.
        pause_within: Whether head and body are written in two pieces.
        silent: Whether it never answers.
        unnamed: Whether the answer does not name the request.
    """

    status: int = 200
    not_run: bool = False
    framing: str = "length"
    body_bytes: int = 12
    copies: tuple[Copy, ...] = ()
    cut: float | None = None
    stops_after_head: bool = False
    ending: Ending = Ending.KEEP
    announced: bool = False
    informational: bool = False
    works: bool = False
    pause_within: bool = False
    silent: bool = False
    unnamed: bool = False

    @property
    def breaks_off(self):
        """Returns whether the answer is not written to its end."""
        return self.cut is not None or self.stops_after_head

    @property
    def faultless(self):
        """Returns whether the exchange is as the documents ask for."""
        whole = not self.breaks_off and not self.silent and not self.unnamed
        return whole and not self.copies

    def body(self, number):
        """Returns the body of the answer to an attempt, which no other has."""
        mark = b"body-%d;" % number
        return (mark * (self.body_bytes // len(mark) + 1))[: self.body_bytes]


def parts_of(plan, head, body, earlier, elsewhere, pending):
    """Returns the parts that are written for an exchange, and those left for the next.

    Args:
        plan: What the upstream does.
        head: Head of the answer, to its empty line.
        body: Body of the answer as it is framed.
        earlier: Earlier answers of the connection, and this one at last.
        elsewhere: Answers of other connections, which name other requests.
        pending: Bytes that were left by the exchange before.

    Returns:
        A list of bytes and pauses, and the bytes that are left.
    """
    own = head + body
    end = len(own) if plan.cut is None else int(len(own) * plan.cut)
    end = min(end, len(head)) if plan.stops_after_head else end
    inserted, left = [], b""
    for copy in plan.copies:
        parts, rest = _copy_parts(copy, earlier, elsewhere)
        inserted.append((_offset(copy.place, head, body), parts))
        left += rest
    written = [pending, PAUSE] if pending else []
    written += [PAUSE] if plan.works else []
    written += [CONTINUE] if plan.informational else []
    if plan.pause_within:
        inserted.append((len(head), [PAUSE]))
    position = 0
    for offset, parts in sorted(inserted, key=lambda entry: entry[0]):
        if offset <= end:
            written += [own[position:offset], *parts]
            position = offset
    written.append(own[position:end])
    return _joined(written), left


def _copy_parts(copy, earlier, elsewhere):
    """Returns the parts of a copy, and the bytes that follow later."""
    known = earlier if copy.place is Place.AFTER else earlier[:-1]
    if copy.elsewhere and copy.place is Place.BEFORE:
        known = elsewhere
    if not known:
        return [], b""
    answer = known[-1 - copy.source % len(known)]
    length = max(1, round(len(answer) * copy.share))
    written, rest = answer[:length], answer[length:]
    parts = [PAUSE] if copy.pause_before else []
    if copy.pause_within:
        half = len(written) // 2
        parts += [written[:half], PAUSE, written[half:]]
    else:
        parts.append(written)
    return parts, rest if copy.late_rest else b""


def _offset(place, head, body):
    """Returns the number of bytes of the answer that are written before a copy."""
    match place:
        case Place.BEFORE:
            return 0
        case Place.WITHIN_HEAD:
            return len(head) // 2
        case Place.BETWEEN:
            return len(head)
        case Place.WITHIN_BODY:
            return len(head) + len(body) // 2
        case Place.AFTER:
            return len(head) + len(body)


def _joined(parts):
    """Joins bytes between pauses, as they are sent in one segment."""
    joined = []
    for part in parts:
        if part is PAUSE or not joined or joined[-1] is PAUSE:
            joined.append(part)
        else:
            joined[-1] += part
    return [part for part in joined if part is PAUSE or part]
