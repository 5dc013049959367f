"""Errors of HTTP connections with callers and upstreams.

Errors of h11, asyncio and sockets are translated into these, so that other
packages do not depend on those libraries.
"""

from __future__ import annotations

from rosemarydeal.core import CodedError

__all__ = [
    "BadMessage",
    "BodyTooLarge",
    "ConnectFailed",
    "ForeignResponse",
    "NoBodyRoom",
    "ProxyError",
    "ProxyTimeout",
    "ResponseBroken",
    "SendFailed",
]


class ProxyError(CodedError):
    """Base class of the errors of HTTP connections."""

    code = "proxy-failed"


class BadMessage(ProxyError):  # noqa: N818
    """A peer sent a message that is not valid HTTP or exceeds a limit."""

    code = "bad-request"


class BodyTooLarge(BadMessage):
    """A body is longer than its limit."""

    code = "body-too-large"


class NoBodyRoom(ProxyError):  # noqa: N818
    """Other bodies use the memory that a body needs."""

    code = "no-memory"


class ConnectFailed(ProxyError):  # noqa: N818
    """No connection could be opened, so nothing was sent.

    Attributes:
        refused: Whether nothing listens at the address; false if the peer did not
            answer in time, or the connection failed for another reason.
    """

    code = "connect-failed"
    sent = False

    def __init__(self, detail: str, refused: bool = False) -> None:
        super().__init__(detail)
        self.refused = refused


class SendFailed(ProxyError):  # noqa: N818
    """The connection failed before the head of the response was received.

    Attributes:
        sent: Whether any byte of the request may have been sent.
    """

    code = "send-failed"

    def __init__(self, detail: str, sent: bool) -> None:
        super().__init__(detail)
        self.sent = sent


class ResponseBroken(ProxyError):  # noqa: N818
    """The response is incomplete or not valid HTTP.

    Attributes:
        closed: Whether the upstream closed or reset the connection before the end;
            false if it sent bytes that are not valid.
    """

    code = "response-broken"
    sent = True

    def __init__(self, detail: str, closed: bool = False) -> None:
        super().__init__(detail)
        self.closed = closed


class ForeignResponse(ProxyError):  # noqa: N818
    """The response belongs to another request, or may do so."""

    code = "foreign-answer"
    sent = True


class ProxyTimeout(ProxyError):  # noqa: N818
    """The exchange exceeded its time limit.

    Attributes:
        sent: Whether any byte of the request may have been sent.
    """

    code = "upstream-timeout"

    def __init__(self, detail: str, sent: bool) -> None:
        super().__init__(detail)
        self.sent = sent
