"""Tells which request of a connection a response belongs to.

Load pattern: faulty upstreams that write a second response to a request, late, where
the response to the next one is expected. The place on the connection does not tell
them apart; a header that upstreams echo does, if a connection carries each value once.
"""

from __future__ import annotations

from collections.abc import Set

from .errors import ForeignResponse
from .message import Headers, Request, find_header

__all__ = ["Identification"]

# The identities of the requests on a connection are kept while it is open.
MAX_REQUESTS = 1000


class Identification:
    """Identities of the requests that a connection has carried."""

    def __init__(self, header: bytes) -> None:
        """Creates the state of a connection that has carried no request.

        Args:
            header: Name of the header that identifies a request, in lower case;
                empty if there is none, so that every response counts as identified.
        """
        self._header = header
        self._carried: set[bytes] = set()
        self._requests = 0
        self._current: bytes | None = None
        self._identified = True

    @property
    def carried(self) -> Set[bytes]:
        """Returns the identities of all requests, including the current one."""
        return self._carried

    @property
    def allows_reuse(self) -> bool:
        """Returns whether another request may follow the current one."""
        return self._identified and len(self._carried) < MAX_REQUESTS

    def has_carried(self, request: Request) -> bool:
        """Returns whether a request with the identity of this one was sent."""
        return find_header(request.headers, self._header) in self._carried

    def start(self, request: Request) -> None:
        """Makes a request that is about to be sent the current one."""
        self._requests += 1
        self._current = find_header(request.headers, self._header)
        if self._current is not None:
            self._carried.add(self._current)

    def is_earlier(self, headers: Headers) -> bool:
        """Returns whether a response names only requests before the current one."""
        named = self._named(headers)
        return bool(named) and self._current not in named and named <= self._carried

    def check(self, headers: Headers) -> None:
        """Checks that a response belongs to the current request.

        Raises:
            ForeignResponse: It names another request, or none although it may be a
                copy of the response to an earlier one.
        """
        named = self._named(headers)
        self._identified = not self._header or bool(named)
        if named - {self._current}:
            raise ForeignResponse(f"the response names {sorted(named)}")
        if not self._identified and self._requests > 1:
            raise ForeignResponse("the response on a reused connection names none")

    def _named(self, headers: Headers) -> set[bytes]:
        """Returns the identities of requests that a response names."""
        return {value for name, value in headers if name == self._header}
