"""Server side of an HTTP connection, which serves one request at a time.

The handler runs in the task of the connection. Cancelling that task when the
caller disconnects therefore cancels the handler, and a response can't be sent
for another request.
"""

from __future__ import annotations

import asyncio
import socket
import struct
from collections.abc import Awaitable, Callable

import h11
import structlog

from rosemarydeal.core import Address, CodedError, NotRun, Unknown

from .errors import BadMessage, BodyTooLarge
from .framing import has_no_body, response_head
from .http_stream import END_OF_MESSAGE, HIGH_WATER_BYTES, READ_BYTES, HttpStream
from .limits import HttpLimits
from .message import (
    BytesBody,
    Headers,
    Request,
    Response,
    find_header,
    strip_hop_by_hop,
)
from .refusal import refusal_response
from .watchdog import Watchdog

__all__ = ["Handler", "ServerConnection"]

Handler = Callable[[Request], Awaitable[Response]]

LINGER_BYTES = 1_048_576
LINGER_S = 1.0
# For the rest of a body that the handler has not read, while it comes in.
BODY_LINGER_S = 10.0
DRAIN_GRACE_S = 0.2
RESET_ON_CLOSE = struct.pack("ii", 1, 0)

log = structlog.get_logger(__name__)


def check_target(method: bytes, target: bytes) -> None:
    """Rejects request targets that other servers could interpret differently.

    Raises:
        BadMessage: If the target is not an absolute path with an optional query.
    """
    if target == b"*" and method == b"OPTIONS":
        return
    if not target.startswith(b"/") or b"#" in target:
        raise BadMessage("the request target is not an absolute path")


class RequestBody:
    """Request body that is read from the connection on demand.

    Reading the first piece sends the 100 response that the caller may wait for,
    so a caller sends its body only if the handler reads it.
    """

    def __init__(self, connection: ServerConnection, initial: bytes) -> None:
        self._connection = connection
        self._initial = initial

    def __aiter__(self) -> RequestBody:
        return self

    async def __anext__(self) -> bytes:
        piece, self._initial = self._initial, b""
        if not piece:
            piece = await self._connection.read_body()
        if piece is None:
            raise StopAsyncIteration
        return piece


class ServerConnection:
    """Connection with a caller that serves one request at a time."""

    def __init__(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        handler: Handler,
        limits: HttpLimits,
    ) -> None:
        self._reader = reader
        self._writer = writer
        self._handler = handler
        self._limits = limits
        self._stream = HttpStream(h11.SERVER, reader, writer, limits.header_bytes)
        self._watchdog = Watchdog()
        self._task: asyncio.Task | None = None
        self._peer = Address(*writer.get_extra_info("peername")[:2])
        self._awaiting_request = True
        self._handler_running = False
        self._closing = False
        self._caller_disconnected = False
        self._body_bytes = 0
        # Of the request that is being served, empty before its head was read.
        self._method = b""

    @property
    def peer(self) -> Address:
        """Returns the caller's address."""
        return self._peer

    @property
    def buffered_bytes(self) -> int:
        """Returns the number of bytes buffered for this connection."""
        return self._stream.buffered_bytes

    async def run(self) -> None:
        """Serves requests until either side closes the connection."""
        self._task = asyncio.current_task()
        try:
            while await self._serve_one():
                self._stream.start_next_exchange()
        except (ConnectionError, asyncio.CancelledError):
            self._abort()
        except Exception:
            log.exception("connection failed", peer=str(self._peer))
            self._abort()
        finally:
            self._close()

    async def reject_connection(self, outcome: NotRun) -> None:
        """Sends an error response without reading a request, and closes."""
        try:
            await self._reject_request(outcome)
        except (ConnectionError, asyncio.CancelledError):
            self._abort()
        finally:
            self._close()

    def set_limits(self, limits: HttpLimits) -> None:
        """Applies changed limits."""
        self._limits = limits
        self._stream.set_header_bytes(limits.header_bytes)

    def close_gracefully(self) -> None:
        """Closes the connection after the request that is running or in transit.

        An idle connection stays open for `DRAIN_GRACE_S`, because closing it at
        once would lose a request that the caller has just sent.
        """
        self._closing = True
        if self._awaiting_request:
            self._watchdog.arm(DRAIN_GRACE_S, self._close_idle)

    def abort(self) -> None:
        """Cancels the running request and aborts the connection."""
        if self._task is not None:
            self._task.cancel()

    def on_caller_disconnected(self) -> None:
        """Cancels the running request, as its response can't be delivered."""
        self._caller_disconnected = True
        if self._handler_running:
            self._task.cancel()

    async def read_body(self) -> bytes | None:
        """Reads the next piece of the body within the limits of time and size."""
        if self._stream.peer_awaits_continue and not self._stream.response_started:
            self._stream.write(h11.InformationalResponse(status_code=100, headers=[]))
        self._watchdog.arm(self._limits.body_read_time_s, self._fail_slow_read)
        piece = await self._stream.read_body()
        self._watchdog.disarm()
        if piece is not None:
            self._add_body_bytes(len(piece))
        return piece

    async def _serve_one(self) -> bool:
        """Serves one request; returns whether the connection can serve another."""
        self._awaiting_request = True
        self._method = b""
        idle_time_s = DRAIN_GRACE_S if self._closing else self._limits.idle_time_s
        self._watchdog.arm(idle_time_s, self._close_idle)
        if not await self._stream.wait_for_bytes() or self._writer.is_closing():
            return False
        self._awaiting_request = False
        self._watchdog.arm(self._limits.header_time_s, self._fail_slow_read)
        try:
            head, headers = await self._stream.read_head()
            self._watchdog.disarm()
            self._method = head.method
            request = self._build_request(head, headers)
        except BadMessage as error:
            await self._reject_request(NotRun(error.code, error.detail))
            return False
        if self._caller_disconnected:
            return False
        self._handler_running = True
        await self._run_handler(request)
        self._handler_running = False
        if self._stream.reusable:
            return True
        await self._linger(max(LINGER_BYTES, self._limits.body_bytes), BODY_LINGER_S)
        return False

    def _build_request(self, head: h11.Request, headers: Headers) -> Request:
        """Builds the request with the part of its body that was received.

        Raises:
            BadMessage: If the request is not acceptable.
        """
        if head.method == b"CONNECT":
            raise BadMessage("the method CONNECT is not supported", "method-not-served")
        check_target(head.method, head.target)
        length = find_header(headers, b"content-length")
        if length is not None and int(length) > self._limits.body_bytes:
            raise self._body_too_large()
        received, complete = self._stream.read_available_body()
        self._body_bytes = 0
        self._add_body_bytes(len(received))
        body = BytesBody(received) if complete else RequestBody(self, received)
        return Request(
            head.method, head.target, strip_hop_by_hop(headers), body, self._peer
        )

    async def _run_handler(self, request: Request) -> None:
        """Runs the handler and writes its response."""
        try:
            response = await self._handler(request)
        except BadMessage as error:
            await self._reject_request(Unknown(error.code, error.detail))
            return
        except CodedError as error:
            log.warning("request handler failed", code=error.code, detail=error.detail)
            response = refusal_response(Unknown(error.code, error.detail))
        except Exception:
            log.exception("request handler failed", peer=str(self._peer))
            response = refusal_response(Unknown("internal"))
        try:
            await self._write_response(request.method, response)
        finally:
            await response.aclose()

    async def _write_response(self, method: bytes, response: Response) -> None:
        """Writes a response; a buffered one in a single write."""
        body = response.body
        complete = self._stream.peer_message_complete
        close = self._closing or response.close or not complete
        head = response_head(method, response, close)
        if has_no_body(method, response.status):
            self._stream.write(head, END_OF_MESSAGE)
        elif isinstance(body, BytesBody):
            self._stream.write(head, h11.Data(data=body.data), END_OF_MESSAGE)
        else:
            self._stream.write(head)
            await self._stream_body(response)
        await self._flush()

    async def _stream_body(self, response: Response) -> None:
        """Writes a body piece by piece, at the rate at which the caller reads it.

        If the body fails half-way the connection is aborted, so that the caller
        does not take the response for complete.
        """
        try:
            async for piece in response.body:
                self._stream.write(h11.Data(data=piece))
                await self._flush()
            self._stream.write(END_OF_MESSAGE)
        except (CodedError, h11.LocalProtocolError) as error:
            log.warning("response body failed", detail=str(error))
            raise ConnectionAbortedError from error

    async def _flush(self) -> None:
        """Waits until the caller has read enough, or aborts after `write_time_s`."""
        if self._writer.transport.get_write_buffer_size() <= HIGH_WATER_BYTES:
            return
        self._watchdog.arm(self._limits.write_time_s, self._abort)
        await self._stream.flush()
        self._watchdog.disarm()

    async def _reject_request(self, outcome: NotRun | Unknown) -> None:
        """Sends an error response for an invalid request, and closes."""
        self._watchdog.disarm()
        if self._stream.response_started:
            raise ConnectionAbortedError
        self._closing = True
        await self._write_response(self._method, refusal_response(outcome))
        await self._linger()

    async def _linger(
        self, remaining: int = LINGER_BYTES, time_s: float = LINGER_S
    ) -> None:
        """Discards what the caller still sends, so that it receives the response.

        Closing a connection with unread bytes resets it, and the caller could
        lose the response. It ends when nothing comes for `LINGER_S`.

        Args:
            remaining: Maximum number of bytes to discard.
            time_s: Maximum time for it.
        """
        if not self._writer.can_write_eof() or self._writer.is_closing():
            return
        self._writer.write_eof()
        loop = asyncio.get_running_loop()
        deadline = loop.time() + time_s
        try:
            while remaining > 0:
                left_s = max(0.0, deadline - loop.time())
                self._watchdog.arm(min(LINGER_S, left_s), self._abort)
                data = await self._reader.read(READ_BYTES)
                if not data:
                    return
                remaining -= len(data)
        except BadMessage:
            return

    def _add_body_bytes(self, length: int) -> None:
        """Adds to the length of the body and checks it against the limit."""
        self._body_bytes += length
        if self._body_bytes > self._limits.body_bytes:
            raise self._body_too_large()

    def _body_too_large(self) -> BodyTooLarge:
        """Returns the error for a body over its limit."""
        detail = f"the body is longer than {self._limits.body_bytes} bytes"
        return BodyTooLarge(detail)

    def _fail_slow_read(self) -> None:
        """Fails the pending read, as the caller sends too slowly."""
        error = BadMessage("the request was not received in time", "request-timeout")
        self._reader.set_exception(error)

    def _close_idle(self) -> None:
        """Closes the connection unless a request arrived at the same moment.

        After a pause of the process, the request's bytes and this timer are due
        in the same turn of the event loop, but the bytes are read in the next.
        """
        loop = asyncio.get_running_loop()
        loop.call_soon(loop.call_soon, self._close_if_idle)

    def _close_if_idle(self) -> None:
        """Closes the connection if no request has started on it."""
        if self._awaiting_request:
            self._writer.close()

    def _abort(self) -> None:
        """Aborts the connection, by a reset if a response is not wholly sent.

        A response to HTTP/1.0 may end with its connection: a normal close would
        make the part that was sent look like the whole.
        """
        sock = self._writer.get_extra_info("socket")
        unsent = self._writer.transport.get_write_buffer_size() > 0
        if (unsent or self._stream.response_incomplete) and sock.fileno() >= 0:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        self._writer.transport.abort()

    def _close(self) -> None:
        """Closes after pending writes, or aborts after `write_time_s`."""
        self._watchdog.close()
        self._writer.close()
        if self._writer.transport.get_write_buffer_size() > 0:
            loop = asyncio.get_running_loop()
            loop.call_later(self._limits.write_time_s, self._abort)
