"""Detects the head of another response among the bytes of a response.

Load pattern: faulty upstreams that write a response twice, or a copy of an earlier one
late. A body that ends with its connection would then contain the copy.
"""

from __future__ import annotations

import re

from .errors import BadMessage
from .message import Headers

__all__ = ["UnframedBodyCheck", "check_spliced_head"]

STATUS_LINE = re.compile(rb"HTTP/1\.[01] [1-5][0-9][0-9]")
STATUS_LINE_BYTES = 12
# A copy that was cut short as well; shorter starts are common at the end of a text.
STATUS_LINE_START = re.compile(rb"HTTP/(1(\.([01]( ([1-5][0-9]?)?)?)?)?)?\Z")


def check_spliced_head(reason: bytes, headers: Headers) -> None:
    """Checks that a head was not written over the start of another one.

    Raises:
        BadMessage: A status line follows in the reason phrase or a header's value, so
            that the status, or some headers, belong to another response.
    """
    for text in (reason, *(value for _, value in headers)):
        if STATUS_LINE.search(text):
            raise BadMessage("the head contains the head of another response")


class UnframedBodyCheck:
    """Checks the pieces of a body whose end only the end of the connection marks."""

    def __init__(self, success: bool) -> None:
        """Creates a check that has seen no piece.

        Args:
            success: Whether the response's status is that of a success.
        """
        self._needs_body = success
        self._tail = b""

    def check(self, piece: bytes | None) -> None:
        """Checks the next piece of the body, or its end.

        Raises:
            BadMessage: A status line has begun, in part or as a whole; or the body
                of a success is empty, as the upstream may have stopped after the head.
        """
        if piece is None:
            self._check_end()
            return
        searched = self._tail + piece
        if STATUS_LINE.search(searched):
            raise BadMessage("the body contains the head of another response")
        self._tail = searched[1 - STATUS_LINE_BYTES :]

    def _check_end(self) -> None:
        """Checks that the body does not end too early."""
        if STATUS_LINE_START.search(self._tail):
            raise BadMessage("the body ends with the start of another response")
        if self._needs_body and not self._tail:
            raise BadMessage("a success without a length ended after its head")
