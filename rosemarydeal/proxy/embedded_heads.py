"""Detects the head of another response among the bytes of a response.

Load pattern: faulty upstreams that write a response twice, or a copy of an earlier one
late. A body that ends with its connection would then contain the copy, the copy would
fill the rest of a body that broke off, and a copy that is cut short would merge with
the head that follows.
"""

from __future__ import annotations

import re
from collections.abc import Set

from .errors import BadMessage
from .message import Framing, Headers

__all__ = ["BodyCheck", "check_spliced_head"]

VERSION = b"HTTP/1."
STATUS_LINE = re.compile(rb"HTTP/1\.[01] [1-5][0-9][0-9]")
STATUS_LINE_BYTES = 12
# A copy that was cut short as well; shorter starts are common at the end of a text.
STATUS_LINE_START = re.compile(rb"HTTP/(1(\.([01]( ([1-5][0-9]?)?)?)?)?)?\Z")
# A head with the start of a header that reaches the end of the body, where it may be
# cut. Texts may end with a quoted status line, but rarely with a quoted head. It is
# matched without backtracking, as a body may hold hundreds of status lines.
HEAD_AT_END = re.compile(
    rb"HTTP/1\.[01] [1-5][0-9][0-9][^\r\n]*+"
    rb"(?:\r\n[A-Za-z0-9-]++:[^\r\n]*+(?=\r\n))*+"
    rb"\r\n(?:[A-Za-z0-9-]*+(?::[^\r\n]*+)?+|\r\n?)\Z"
)
END_OF_LINE = b"\r\n"
END_OF_HEAD = b"\r\n\r\n"
# Longest head of which a piece may hold only a part.
MAX_HEAD_BYTES = 4096


def check_spliced_head(reason: bytes, headers: Headers) -> None:
    """Checks that a head was not written over the start of another one.

    Raises:
        BadMessage: A status line follows in the reason phrase or a header's value, so
            that the status, or some headers, belong to another response.
    """
    for text in (reason, *(value for _, value in headers)):
        if VERSION in text and STATUS_LINE.search(text):
            raise BadMessage("the head contains the head of another response")


class BodyCheck:
    """Checks the pieces of a body for the head of another response.

    A body that ends with its connection must not contain a status line. Any other body
    may, unless the line is followed by the identity of a request of the connection, the
    head reaches the end of the body, or further bytes follow the body: what ends the
    body is then a part of the copy. A whole head with headers of the upstreams'
    protocol and without an identity may belong to any request, so it is taken for
    another response; with an identity that the connection has not carried it is a text.
    """

    def __init__(
        self,
        framing: Framing,
        success: bool,
        identifying_header: bytes,
        identities: Set[bytes],
        marking_headers: Set[bytes] = frozenset(),
    ) -> None:
        """Creates a check that has seen no piece.

        Args:
            framing: How the end of the body is known.
            success: Whether the response's status is that of a success.
            identifying_header: Header that names the request of a response, or empty.
            identities: Values of that header that the connection has carried.
            marking_headers: Headers of the upstreams' protocol, in lower case.
        """
        self._unframed = framing is Framing.CLOSE
        self._needs_body = self._unframed and success
        self._identifying_header = identifying_header
        self._identities = identities
        self._marking_headers = marking_headers
        self._tail = b""
        self._has_status_line = False

    def check(self, piece: bytes) -> None:
        """Checks the next piece of the body.

        Raises:
            BadMessage: It contains bytes of another response.
        """
        if not piece:
            return
        self._needs_body = False
        searched = self._tail + piece
        if VERSION in searched and STATUS_LINE.search(searched):
            self._has_status_line = True
        if self._has_status_line and (self._unframed or self._names_request(searched)):
            raise BadMessage("the body contains the head of another response")
        if self._has_status_line and self._has_marked_head(searched):
            raise BadMessage("the body contains a head of the upstreams' protocol")
        kept = MAX_HEAD_BYTES if self._has_status_line else STATUS_LINE_BYTES - 1
        self._tail = searched[-kept:]

    def check_end(self, bytes_follow: bool) -> None:
        """Checks the end of the body.

        Args:
            bytes_follow: Whether the connection has received more than the body.

        Raises:
            BadMessage: The body ends within another response; or it is that of a
                success, has no length and is empty, as the upstream may have stopped
                after the head.
        """
        has_start = self._has_status_line or STATUS_LINE_START.search(self._tail)
        if has_start and (self._unframed or bytes_follow):
            raise BadMessage("the body ends within another response")
        if self._has_status_line and HEAD_AT_END.search(self._tail):
            raise BadMessage("the body ends within another response")
        if self._needs_body:
            raise BadMessage("a success without a length ended after its head")

    def _has_marked_head(self, searched: bytes) -> bool:
        """Returns whether bytes contain a whole head of the protocol without an id."""
        if not self._marking_headers:
            return False
        *heads, _ = searched.split(END_OF_HEAD)
        return any(self._ends_with_marked_head(head) for head in heads)

    def _ends_with_marked_head(self, text: bytes) -> bool:
        """Returns whether a text ends with such a head, without its last line end."""
        names = set()
        for line in reversed(text[-MAX_HEAD_BYTES:].split(END_OF_LINE)):
            if STATUS_LINE.search(line) and not names.isdisjoint(self._marking_headers):
                return self._identifying_header not in names
            name, colon, value = line.partition(b":")
            if not colon or b" " in name:
                return False
            if value.strip():
                names.add(name.lower())
        return False

    def _names_request(self, searched: bytes) -> bool:
        """Returns whether bytes name a request that the connection has carried."""
        if not self._identifying_header:
            return False
        name = re.escape(self._identifying_header)
        named = re.findall(rb"(?i)\n" + name + rb":[ \t]*([^\r\n]*)\r", searched)
        return not self._identities.isdisjoint(named)
