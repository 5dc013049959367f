"""HTTP towards callers and upstreams, by h11 on asyncio streams."""

from .client import Pool, PoolSettings
from .client_connection import ConnectionSettings
from .errors import (
    BadMessage,
    BodyTooLarge,
    ConnectFailed,
    ProxyError,
    ProxyTimeout,
    ResponseBroken,
    SendFailed,
)
from .limits import HttpLimits
from .message import (
    Headers,
    Request,
    Response,
    WholeBody,
    end_to_end,
    find_header,
    problem_response,
    read_whole,
    replace_header,
    whole_response,
)
from .refusal import refusal_response
from .server import HttpServer, serve
from .server_connection import Handler

__all__ = [
    "BadMessage",
    "BodyTooLarge",
    "ConnectFailed",
    "ConnectionSettings",
    "Handler",
    "Headers",
    "HttpLimits",
    "HttpServer",
    "Pool",
    "PoolSettings",
    "ProxyError",
    "ProxyTimeout",
    "Request",
    "Response",
    "ResponseBroken",
    "SendFailed",
    "WholeBody",
    "end_to_end",
    "find_header",
    "problem_response",
    "read_whole",
    "refusal_response",
    "replace_header",
    "serve",
    "whole_response",
]
