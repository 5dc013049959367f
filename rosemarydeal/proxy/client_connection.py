"""Client side of an HTTP connection, which carries one exchange at a time."""

from __future__ import annotations

import asyncio
import select
from dataclasses import dataclass
from typing import TYPE_CHECKING

import h11

from rosemarydeal.core import Address

from .embedded_heads import BodyCheck, check_spliced_head
from .errors import (
    BadMessage,
    ProxyTimeout,
    ResponseBroken,
    SendFailed,
)
from .framing import request_head, response_framing
from .http_stream import END_OF_MESSAGE, HttpStream
from .identification import Identification
from .message import (
    BytesBody,
    Framing,
    Headers,
    Request,
    Response,
    find_header,
    strip_hop_by_hop,
)

if TYPE_CHECKING:
    from .upstream_protocol import UpstreamProtocol

__all__ = ["ClientConnection", "ConnectionSettings"]

CONTINUE = 100
# A final response follows a few informational ones, or late copies of earlier ones.
MAX_SKIPPED_RESPONSES = 16
SWITCHING_PROTOCOLS = 101
SUCCESSES = range(200, 300)
# The library accepts up to 999; RFC 9110, section 15, defines none above 599.
MAX_STATUS = 599


@dataclass(frozen=True, slots=True)
class ConnectionSettings:
    """Limits of a connection to an upstream.

    Attributes:
        header_bytes: Maximum size of the head of a response.
        continue_time_s: Time to wait for a 100 response before sending the body.
        identifying_header: Header that tells which request a response belongs to,
            in lower case; empty if there is none. Upstreams echo its value. A late
            copy of a response must not be taken for the response to a later
            request: a connection carries one request of each value, and is not
            reused after a response without the header.
        marking_headers: Headers, in lower case, by which a head within a body is
            recognized as one of the upstreams' protocol.
    """

    header_bytes: int = 32_768
    continue_time_s: float = 1.0
    identifying_header: bytes = b""
    marking_headers: frozenset[bytes] = frozenset()


class ResponseBody:
    """Response body that is read from the connection on demand."""

    def __init__(self, connection: ClientConnection, initial: bytes) -> None:
        self._connection = connection
        self._initial = initial

    def __aiter__(self) -> ResponseBody:
        return self

    async def __anext__(self) -> bytes:
        piece, self._initial = self._initial, b""
        if not piece and self._connection is not None:
            piece = await self._connection.read_body()
        if not piece:
            self._connection = None
            raise StopAsyncIteration
        return piece

    async def aclose(self) -> None:
        """Aborts the connection if the body was not read to its end."""
        if self._connection is not None:
            self._connection.abort()
            self._connection = None


class ClientConnection:
    """Connection to an upstream that carries one exchange at a time."""

    def __init__(
        self,
        address: Address,
        settings: ConnectionSettings,
        protocol: UpstreamProtocol,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        self._address = address
        self._settings = settings
        self._protocol = protocol
        self._reader = reader
        self._writer = writer
        self._stream = HttpStream(h11.CLIENT, reader, writer, settings.header_bytes)
        self._poll = select.poll()
        self._poll.register(writer.get_extra_info("socket"), select.POLLIN)
        self._acquired = False
        self._lost = False
        self._exchanges = 0
        self._in_exchange = False
        self._send_started = False
        self._head_received = False
        self._timed_out = False
        self._timer: asyncio.TimerHandle | None = None
        self._body_task: asyncio.Task | None = None
        self._continue_received: asyncio.Future[bool] | None = None
        self._request_body_error: Exception | None = None
        self._identification = Identification(settings.identifying_header)
        self._late_copies = 0
        self._body_check: BodyCheck | None = None

    @property
    def address(self) -> Address:
        """Returns the upstream's address."""
        return self._address

    @property
    def ended(self) -> bool:
        """Returns whether an idle connection was closed by either side."""
        return self._reader.at_eof() or self._writer.is_closing()

    @property
    def stale(self) -> bool:
        """Returns whether an idle connection was closed or received any bytes."""
        if self.ended:
            return True
        return self._exchanges > 0 and bool(self._poll.poll(0))

    @property
    def _has_further_bytes(self) -> bool:
        """Returns whether more than the exchange's bytes were received."""
        return self._stream.has_unparsed_bytes or (
            self._protocol.received_bytes != self._stream.consumed_bytes
        )

    def has_carried(self, request: Request) -> bool:
        """Returns whether a request with the identity of this one was sent here."""
        return self._identification.has_carried(request)

    async def exchange(self, request: Request, deadline: float) -> Response:
        """Sends a request and reads the head of its response.

        Args:
            request: The request.
            deadline: Deadline of the whole exchange, on the event loop's clock.

        Returns:
            The response; reading its body to the end frees the connection.

        Raises:
            SendFailed: If the connection failed before the response's head.
            ResponseBroken: If the response is not valid HTTP.
            ForeignResponse: If the response belongs to another request.
            ProxyTimeout: If the deadline passed.
        """
        self._start_exchange(deadline)
        self._identification.start(request)
        try:
            self._send(request)
        except h11.LocalProtocolError as error:
            self.abort()
            raise SendFailed(f"the request is not valid: {error}", False) from error
        try:
            head, headers = await self._read_response_head(request)
            self._identification.check(headers)
            return self._build_response(request.method, head, headers)
        except (OSError, BadMessage) as error:
            failure = self._translate_error(error)
            self.abort()
            if failure is error:
                raise
            raise failure from error
        except BaseException:
            self.abort()
            raise

    async def read_body(self) -> bytes | None:
        """Reads the next piece of the body; its end frees the connection.

        Raises:
            ResponseBroken: If the body is incomplete or its framing is not valid.
            ProxyTimeout: If the deadline passed.
        """
        try:
            piece = await self._stream.read_body()
            self._check_body(piece or b"", piece is None)
        except (OSError, BadMessage) as error:
            failure = self._translate_error(error)
            self.abort()
            if failure is error:
                raise
            raise failure from error
        except BaseException:
            self.abort()
            raise
        if piece is None:
            self._end_exchange()
        return piece

    def abort(self) -> None:
        """Closes the connection without waiting for pending writes."""
        self._cancel_tasks()
        self._writer.transport.abort()

    def mark_acquired(self) -> None:
        """Marks the connection as owned by the pool, which is notified of its loss.

        Raises:
            ConnectionResetError: If the connection is already lost.
        """
        if self._lost:
            raise ConnectionResetError(
                "the upstream closed the connection when it was opened"
            )
        self._acquired = True

    def abort_if_unsolicited(self) -> None:
        """Aborts a connection whose peer sends or closes between exchanges."""
        if self._exchanges and not self._in_exchange:
            self.abort()

    def mark_lost(self) -> bool:
        """Marks the connection as lost; returns whether the pool must be notified."""
        self._lost = True
        self._cancel_tasks()
        return self._acquired

    def _start_exchange(self, deadline: float) -> None:
        """Resets the state for an exchange and starts its deadline timer."""
        if self._exchanges:
            self._stream.start_next_exchange()
        self._exchanges += 1
        self._in_exchange = True
        self._send_started = False
        self._head_received = False
        loop = asyncio.get_running_loop()
        self._timer = loop.call_at(deadline, self._on_deadline)

    def _send(self, request: Request) -> None:
        """Writes a buffered request at once, or starts a task that streams its body."""
        body = request.body
        head = request_head(request, self._address)
        expects_continue = find_header(request.headers, b"expect") is not None
        if isinstance(body, BytesBody) and not expects_continue:
            events = [head, END_OF_MESSAGE]
            if body.data:
                events.insert(1, h11.Data(data=body.data))
            self._write(*events)
            return
        self._write(head)
        if expects_continue:
            self._continue_received = asyncio.get_running_loop().create_future()
        self._body_task = asyncio.create_task(self._send_body(request))

    def _write(self, *events: h11.Event) -> None:
        """Writes events; from the first write on, bytes may have been sent."""
        data = self._stream.encode(*events)
        self._send_started = True
        self._writer.write(data)

    async def _send_body(self, request: Request) -> None:
        """Streams the request's body at the rate at which the upstream reads it."""
        if self._continue_received is not None:
            await asyncio.wait(
                {self._continue_received}, timeout=self._settings.continue_time_s
            )
        try:
            async for piece in request.body:
                self._write(h11.Data(data=piece))
                await self._stream.flush()
            self._write(END_OF_MESSAGE)
        except ConnectionError:
            # The read of the response fails with the same error and reports it.
            return
        except h11.LocalProtocolError as error:
            self._fail_exchange(
                SendFailed(f"the body does not match the request's head: {error}", True)
            )
        except Exception as error:
            self._fail_exchange(error)

    def _fail_exchange(self, error: Exception) -> None:
        """Fails the exchange with an error raised by the request's body."""
        self._request_body_error = error
        self._reader.set_exception(error)

    async def _read_response_head(
        self, request: Request
    ) -> tuple[h11.Response, Headers]:
        """Reads the final head; skips informational responses and late copies."""
        for _ in range(MAX_SKIPPED_RESPONSES + 1):
            if not await self._stream.wait_for_bytes():
                raise ConnectionResetError("the upstream closed the connection")
            head, headers = await self._stream.read_head()
            check_spliced_head(head.reason, headers)
            if head.status_code > MAX_STATUS:
                raise BadMessage(f"the status {head.status_code} is not valid")
            if type(head) is h11.Response:
                if not self._is_late_copy(request, head, headers):
                    return head, headers
                await self._stream.skip_response(request.method)
                self._late_copies += 1
                continue
            if head.status_code == SWITCHING_PROTOCOLS:
                raise BadMessage(
                    "the upstream switched protocols without an upgrade request"
                )
            if head.status_code == CONTINUE and self._continue_received is not None:
                self._allow_body()
        raise BadMessage("the upstream sent too many responses before the final one")

    def _is_late_copy(
        self, request: Request, head: h11.Response, headers: Headers
    ) -> bool:
        """Returns whether a response is the copy of an earlier one, and may be skipped.

        No other response follows one that ends with the connection.
        """
        if not self._identification.is_earlier(headers):
            return False
        framing = response_framing(request.method, head.status_code, headers)
        return framing is not Framing.CLOSE

    def _build_response(
        self, method: bytes, head: h11.Response, headers: Headers
    ) -> Response:
        """Builds the response, buffered if its whole body was received already."""
        self._head_received = True
        framing = response_framing(method, head.status_code, headers)
        headers = strip_hop_by_hop(headers)
        received, complete = self._stream.read_available_body()
        self._body_check = BodyCheck(
            framing,
            head.status_code in SUCCESSES,
            self._settings.identifying_header,
            self._identification.carried,
            self._settings.marking_headers,
        )
        self._check_body(received, complete)
        if complete:
            self._end_exchange()
            body = BytesBody(received)
        else:
            body = ResponseBody(self, received)
        return Response(
            head.status_code,
            headers,
            body,
            framing,
            self._exchanges,
            self._late_copies,
        )

    def _end_exchange(self) -> None:
        """Ends the exchange; closes the connection if it can't be reused safely."""
        self._cancel_tasks()
        self._in_exchange = False
        still_open = not self._reader.at_eof() and not self._writer.is_closing()
        reusable = (
            self._stream.reusable
            and self._identification.allows_reuse
            and not self._late_copies
        )
        if reusable and still_open and not self._has_further_bytes:
            self._protocol.notify_idle()
        else:
            self.abort()

    def _check_body(self, piece: bytes, complete: bool) -> None:
        """Checks a piece of the response's body, and its end after the last one."""
        self._body_check.check(piece)
        if complete:
            self._body_check.check_end(self._has_further_bytes)

    def _allow_body(self) -> None:
        """Starts sending the body after a 100 response."""
        if not self._continue_received.done():
            self._continue_received.set_result(True)

    def _cancel_tasks(self) -> None:
        """Cancels the deadline timer and the task that streams the body."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if self._body_task is not None:
            self._body_task.cancel()
            self._body_task = None
        self._continue_received = None

    def _on_deadline(self) -> None:
        """Aborts the exchange when its deadline passes."""
        self._timed_out = True
        self._reader.set_exception(
            ConnectionAbortedError("the deadline of the exchange passed")
        )
        self._writer.transport.abort()

    def _translate_error(self, error: Exception) -> Exception:
        """Translates an error of the connection into a `ProxyError`.

        An error raised by the request's body is returned unchanged.
        """
        if error is self._request_body_error:
            return error
        if self._timed_out:
            return ProxyTimeout(
                "the deadline of the exchange passed", self._send_started
            )
        closed = isinstance(error, OSError) or self._stream.peer_broke_off
        if self._head_received:
            detail = f"the response is incomplete or not valid: {error}"
            return ResponseBroken(detail, closed)
        if isinstance(error, BadMessage):
            detail = f"the head of the response is not valid: {error}"
            return ResponseBroken(detail, closed)
        return SendFailed(f"{self._address}: {error}", self._send_started)
