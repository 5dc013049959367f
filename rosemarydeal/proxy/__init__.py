"""HTTP/1.1 server for callers and client for upstreams, using h11 and asyncio."""

from .buffering import BodyBuffers, BodyRoom, HeldBody
from .client import Pool, PoolSettings
from .client_connection import ConnectionSettings
from .errors import (
    BadMessage,
    BodyTooLarge,
    ConnectFailed,
    ForeignResponse,
    NoBodyRoom,
    ProxyError,
    ProxyTimeout,
    ResponseBroken,
    SendFailed,
)
from .limits import HttpLimits
from .message import (
    BytesBody,
    Framing,
    Headers,
    Request,
    Response,
    bytes_response,
    find_header,
    problem_response,
    read_bytes,
    replace_header,
    strip_hop_by_hop,
)
from .refusal import refusal_response
from .server import HttpServer, serve
from .server_connection import Handler

__all__ = [
    "BadMessage",
    "BodyBuffers",
    "BodyRoom",
    "BodyTooLarge",
    "BytesBody",
    "ConnectFailed",
    "ConnectionSettings",
    "ForeignResponse",
    "Framing",
    "Handler",
    "Headers",
    "HeldBody",
    "HttpLimits",
    "HttpServer",
    "NoBodyRoom",
    "Pool",
    "PoolSettings",
    "ProxyError",
    "ProxyTimeout",
    "Request",
    "Response",
    "ResponseBroken",
    "SendFailed",
    "bytes_response",
    "find_header",
    "problem_response",
    "read_bytes",
    "refusal_response",
    "replace_header",
    "serve",
    "strip_hop_by_hop",
]
