"""Defines the errors of HTTP towards callers and upstreams.

Errors of h11, of asyncio and of sockets are turned into these, so that other
packages need not know the libraries underneath.
"""

from __future__ import annotations

from rosemarydeal.core import CodedError

__all__ = [
    "BadMessage",
    "BodyTooLarge",
    "ConnectFailed",
    "ProxyError",
    "ProxyTimeout",
    "ResponseBroken",
    "SendFailed",
]


class ProxyError(CodedError):
    """Covers all failures of HTTP connections."""

    code = "proxy-failed"


class BadMessage(ProxyError):  # noqa: N818
    """Says that a peer sent what is not allowed in HTTP, or past a limit."""

    code = "bad-request"


class BodyTooLarge(BadMessage):
    """Says that a body is longer than its limit."""

    code = "body-too-large"


class ConnectFailed(ProxyError):  # noqa: N818
    """Says that no connection came about, so nothing was sent."""

    code = "connect-failed"
    sent = False


class SendFailed(ProxyError):  # noqa: N818
    """Says that the connection broke before the head of the response.

    Attributes:
        sent: Whether the first byte of the request may have gone out.
    """

    code = "send-failed"

    def __init__(self, detail: str, sent: bool) -> None:
        super().__init__(detail)
        self.sent = sent


class ResponseBroken(ProxyError):  # noqa: N818
    """Says that the response broke off, or was not valid HTTP."""

    code = "response-broken"
    sent = True


class ProxyTimeout(ProxyError):  # noqa: N818
    """Says that the time for the exchange ran out.

    Attributes:
        sent: Whether the first byte of the request may have gone out.
    """

    code = "upstream-timeout"

    def __init__(self, detail: str, sent: bool) -> None:
        super().__init__(detail)
        self.sent = sent
