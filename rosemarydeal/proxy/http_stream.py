"""HTTP/1.1 messages over asyncio streams, for server and client connections.

Parsing is stricter than that of h11: messages that two parsers could interpret
differently are rejected rather than repaired, to prevent request smuggling.
"""

from __future__ import annotations

import asyncio

import h11

from .errors import BadMessage
from .message import Headers

__all__ = ["END_OF_MESSAGE", "HIGH_WATER_BYTES", "HttpStream", "READ_BYTES"]

# A body may have this many chunks of a mean length below the next constant.
MAX_SHORT_CHUNKS = 4096
SHORT_CHUNK_BYTES = 64
READ_BYTES = 65_536
HIGH_WATER_BYTES = 65_536
END_OF_MESSAGE = h11.EndOfMessage()
HEAD_END = b"\r\n\r\n"
UNSENT_HEADERS = ((b"host", b"unsent"),)
SUPPORTED_VERSIONS = frozenset({b"1.0", b"1.1"})

Head = h11.Request | h11.Response | h11.InformationalResponse


def check_lines(head: bytes) -> None:
    """Rejects line ends and characters that parsers interpret differently.

    Args:
        head: Start line and headers, or those lines that are complete.

    Raises:
        BadMessage: If the head has a bare CR or LF, a folded line or a NUL.
    """
    line_ends = head.count(b"\r\n")
    if head.count(b"\n") != line_ends or head.count(b"\r") != line_ends:
        raise BadMessage("a line of the head does not end in CR LF")
    if b"\r\n " in head or b"\r\n\t" in head:
        raise BadMessage("a header is folded over several lines")
    if b"\0" in head:
        raise BadMessage("the head contains a NUL")


def check_framing(head: Head, headers: Headers) -> None:
    """Rejects heads whose body length is ambiguous.

    Raises:
        BadMessage: If both Content-Length and Transfer-Encoding are present,
            an HTTP/1.0 message has Transfer-Encoding, or the version is
            neither 1.0 nor 1.1.
    """
    if head.http_version not in SUPPORTED_VERSIONS:
        raise BadMessage("the HTTP version is neither 1.0 nor 1.1")
    encoding, length = False, False
    for name, _ in headers:
        encoding = encoding or name == b"transfer-encoding"
        length = length or name == b"content-length"
    if not encoding:
        return
    if length:
        raise BadMessage("Content-Length and Transfer-Encoding are both present")
    if head.http_version < b"1.1":
        raise BadMessage("an HTTP/1.0 message has a Transfer-Encoding")


class HttpStream:
    """One HTTP connection: an h11 state machine on a pair of asyncio streams."""

    def __init__(
        self,
        role: type[h11.CLIENT] | type[h11.SERVER],
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        header_bytes: int,
    ) -> None:
        self._role = role
        self._h11 = h11.Connection(role, max_incomplete_event_size=header_bytes)
        # Limit that holds from the next exchange on.
        self._next_header_bytes = header_bytes
        self._reader = reader
        self._writer = writer
        self._header_bytes = header_bytes
        self._consumed_bytes = 0
        self._peer_closed = False
        self._pieces = 0
        self._body_bytes = 0

    @property
    def consumed_bytes(self) -> int:
        """Returns the total number of bytes read from the peer."""
        return self._consumed_bytes

    @property
    def buffered_bytes(self) -> int:
        """Returns the number of bytes that are not yet parsed or not yet sent."""
        unparsed = len(self._h11.trailing_data[0])
        return unparsed + self._writer.transport.get_write_buffer_size()

    @property
    def reusable(self) -> bool:
        """Returns whether the exchange ended and another can follow."""
        return self._h11.our_state is h11.DONE and self._h11.their_state is h11.DONE

    @property
    def peer_message_complete(self) -> bool:
        """Returns whether the peer's message was read to its end."""
        return self._h11.their_state not in (h11.SEND_BODY, h11.SEND_RESPONSE)

    @property
    def peer_awaits_continue(self) -> bool:
        """Returns whether the peer waits for a 100 response to send its body."""
        return self._h11.they_are_waiting_for_100_continue

    @property
    def response_started(self) -> bool:
        """Returns whether the final head of our response was written."""
        return self._h11.our_state not in (h11.IDLE, h11.SEND_RESPONSE)

    @property
    def response_incomplete(self) -> bool:
        """Returns whether our response was started but not ended."""
        return self._h11.our_state in (h11.SEND_BODY, h11.ERROR)

    @property
    def peer_broke_off(self) -> bool:
        """Returns whether the peer closed before the end of its message."""
        incomplete = (h11.SEND_RESPONSE, h11.SEND_BODY, h11.ERROR)
        return self._peer_closed and self._h11.their_state in incomplete

    @property
    def has_unparsed_bytes(self) -> bool:
        """Returns whether bytes were received that are not parsed yet."""
        return bool(self._h11.trailing_data[0])

    def set_header_bytes(self, header_bytes: int) -> None:
        """Changes the maximum size of a head, from the next exchange on.

        An exchange of which nothing has been received counts as the next one.
        """
        self._next_header_bytes = header_bytes
        if self._h11.their_state is h11.IDLE and not self.has_unparsed_bytes:
            self._apply_header_bytes()

    async def wait_for_bytes(self) -> bool:
        """Waits for the first bytes of the next message.

        Returns:
            Whether bytes arrived; false if the peer closed the connection.
        """
        if self.has_unparsed_bytes:
            return True
        data = await self._reader.read(READ_BYTES)
        self._feed(data)
        return bool(data)

    async def read_head(self) -> tuple[Head, Headers]:
        """Reads and checks the next head.

        Returns:
            The head, and its headers with their names in lower case.

        Raises:
            BadMessage: If the head is not valid or exceeds its limit.
        """
        buffered = self._h11.trailing_data[0]
        search_from = 0
        while (end := buffered.find(HEAD_END, search_from)) < 0:
            if len(buffered) > self._header_bytes:
                raise self._head_too_long()
            check_lines(buffered[: buffered.rfind(b"\n") + 1])
            search_from = max(0, len(buffered) - len(HEAD_END) + 1)
            data = await self._reader.read(READ_BYTES)
            if not data:
                self._peer_closed = True
                raise BadMessage("the connection closed before the end of the head")
            self._feed(data)
            buffered += data
        if end + len(HEAD_END) > self._header_bytes:
            raise self._head_too_long()
        check_lines(buffered[: end + len(HEAD_END)])
        head = self._next_event()
        # Iterating over h11's own sequence costs several calls for each header.
        headers = tuple([(n.lower(), v) for n, v in head.headers.raw_items()])
        check_framing(head, headers)
        return head, headers

    async def read_body(self) -> bytes | None:
        """Reads the next piece of the peer's body.

        Returns:
            The piece, or None at the end of the message.

        Raises:
            BadMessage: If the body is incomplete or its framing is not valid.
        """
        while True:
            event = self._next_event()
            if event is h11.NEED_DATA:
                data = await self._reader.read(READ_BYTES)
                self._feed(data)
            elif type(event) is h11.Data:
                self._check_piece(len(event.data))
                return bytes(event.data)
            elif type(event) is h11.EndOfMessage:
                return None
            else:
                raise BadMessage("the connection closed before the end of the body")

    async def skip_response(self, method: bytes) -> None:
        """Reads a response to its end and awaits another one to the same request.

        Args:
            method: Method of the request, on which the framing of responses depends.

        Raises:
            BadMessage: If the response is incomplete or the last of its connection,
                or the request has not been sent completely.
        """
        while await self.read_body() is not None:
            pass
        repeated = h11.Request(method=method, target=b"/", headers=UNSENT_HEADERS)
        try:
            self.start_next_exchange()
            # Only the state is changed; the request was sent before.
            self.encode(repeated, END_OF_MESSAGE)
        except h11.LocalProtocolError as error:
            raise BadMessage(f"no other response can follow: {error}") from error

    def read_available_body(self) -> tuple[bytes, bool]:
        """Reads the part of the body that was already received, without waiting.

        Returns:
            The bytes, and whether they complete the message.
        """
        pieces = []
        while type(event := self._next_event()) is h11.Data:
            self._check_piece(len(event.data))
            pieces.append(event.data)
        return b"".join(pieces), type(event) is h11.EndOfMessage

    def encode(self, *events: h11.Event) -> bytes:
        """Encodes events; the caller must write the bytes in the same order.

        Raises:
            h11.LocalProtocolError: If an event is not valid in the current state.
        """
        return b"".join([self._h11.send(event) for event in events])

    def write(self, *events: h11.Event) -> None:
        """Writes events in a single write, without waiting for the peer."""
        self._writer.write(self.encode(*events))

    async def flush(self) -> None:
        """Waits while the write buffer is over the limit of the transport."""
        await self._writer.drain()

    def start_next_exchange(self) -> None:
        """Resets the state for the next exchange on the connection."""
        self._pieces = self._body_bytes = 0
        self._h11.start_next_cycle()
        self._apply_header_bytes()

    def _apply_header_bytes(self) -> None:
        """Puts a changed limit of heads in force between two exchanges.

        h11 takes it only for a new state machine, which gets the received bytes.
        """
        if self._next_header_bytes == self._header_bytes:
            return
        self._header_bytes = self._next_header_bytes
        received, closed = self._h11.trailing_data
        self._h11 = h11.Connection(
            self._role, max_incomplete_event_size=self._header_bytes
        )
        if received:
            self._feed(received)
            self._consumed_bytes -= len(received)
        if closed:
            self._feed(b"")

    def _check_piece(self, length: int) -> None:
        """Counts a piece of the body.

        Raises:
            BadMessage: If the body consists of very many very short chunks, which
                would take far more processor time and memory than their bytes.
        """
        self._pieces += 1
        self._body_bytes += length
        if self._pieces > MAX_SHORT_CHUNKS and (
            self._body_bytes < SHORT_CHUNK_BYTES * self._pieces
        ):
            raise BadMessage("the chunks of the body are too short")

    def _head_too_long(self) -> BadMessage:
        """Returns the error for a head over its limit."""
        detail = f"the head is longer than {self._header_bytes} bytes"
        return BadMessage(detail, "header-too-large")

    def _feed(self, data: bytes) -> None:
        """Passes bytes to h11; empty bytes mean that the peer closed."""
        self._consumed_bytes += len(data)
        self._peer_closed = self._peer_closed or not data
        try:
            self._h11.receive_data(data)
        except h11.RemoteProtocolError as error:
            raise BadMessage(str(error)) from error

    def _next_event(self) -> h11.Event | type[h11.NEED_DATA] | type[h11.PAUSED]:
        """Returns the next event of h11, translating its errors."""
        try:
            return self._h11.next_event()
        except h11.RemoteProtocolError as error:
            raise BadMessage(str(error)) from error
