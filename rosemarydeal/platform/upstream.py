"""Client of the upstream beside the process: grants, releases and requests."""

from __future__ import annotations

import asyncio
import itertools
import math
import secrets
from collections.abc import Callable
from dataclasses import replace

import msgspec
import structlog

from rosemarydeal.core import Address, CodedError
from rosemarydeal.core.decoding import MAX_PACE, MAX_SLOTS
from rosemarydeal.core.fleet import KeyRange, UpstreamLoad
from rosemarydeal.core.requests import (
    Answered,
    Failed,
    Rejected,
    RoutedRequest,
    UpstreamNotice,
    UpstreamRequest,
    UpstreamResult,
)
from rosemarydeal.proxy import (
    BodyBuffers,
    BytesBody,
    ConnectFailed,
    ConnectionSettings,
    Framing,
    Headers,
    Pool,
    PoolSettings,
    ProxyError,
    ProxyTimeout,
    Request,
    Response,
    SendFailed,
    find_header,
    read_bytes,
)

from . import names

__all__ = [
    "ANSWER_BUDGET_BYTES",
    "GrantRefused",
    "UpstreamCallFailed",
    "UpstreamClient",
]

MS_PER_S = 1000.0
# Below the shortest documented idle time-out of an upstream, 10 s.
IDLE_TIME_S = 4.0
CONNECT_TIME_S = 1.0
DEADLINE_MARGIN_S = 0.05
# Memory for all answers that are being read. The smallest VM gives a process 200 MB,
# and an answer is copied when it is passed on.
ANSWER_BUDGET_BYTES = 32 * 1024 * 1024
# Answers to grants, releases and probes are short.
MAX_CALL_ANSWER_BYTES = 64 * 1024
# Ids of calls begin with as many random bytes, and differ from all other ids.
CALL_PREFIX_BYTES = 6
OK = 200
CONFLICT = 409
MISDIRECTED = 421
SUCCESSES = range(200, 300)
# Callers take these for the promise that a request has not run.
NOT_RUN_STATUSES = frozenset({408, 429, 503})
# A limit in this length has any precision that an upstream could mean.
MAX_RATE_LIMIT_BYTES = 32
# Four figures, with room for more.
MAX_LOAD_BYTES = 128

_log = structlog.get_logger()


class UpstreamCallFailed(CodedError):
    """A call to the upstream got no usable answer.

    Attributes:
        sent: Whether the call may have reached the upstream.
        refused: Whether the upstream does not listen at its address: nothing does, or
            another instance.
    """

    code = "upstream-call-failed"

    def __init__(self, detail: str, sent: bool = True, refused: bool = False) -> None:
        super().__init__(detail)
        self.sent = sent
        self.refused = refused


class GrantRefused(CodedError):
    """The upstream has seen a higher token for one of the keys."""

    code = "grant-refused"


class UpstreamClient:
    """Connections to the upstream of this VM."""

    def __init__(self, address: Address, connections: int) -> None:
        self._address = address
        settings = PoolSettings(
            connections_per_address=connections,
            idle_time_s=IDLE_TIME_S,
            connect_time_s=CONNECT_TIME_S,
            connection=ConnectionSettings(
                identifying_header=names.REQUEST_ID, marking_headers=names.ANSWER_MARKS
            ),
        )
        self._pool = Pool(settings)
        # Calls do not wait for connections that requests use.
        self._calls = Pool(settings)
        self._call_prefix = secrets.token_hex(CALL_PREFIX_BYTES)
        self._call_numbers = itertools.count(1)
        self._buffers = BodyBuffers(ANSWER_BUDGET_BYTES)

    @property
    def is_connected(self) -> bool:
        """Returns whether the upstream keeps any connection open."""
        return any(
            pool.is_connected(self._address) for pool in (self._pool, self._calls)
        )

    async def grant(
        self,
        keys: KeyRange,
        instance: str,
        hold_s: Callable[[], float],
        timeout_s: float,
    ) -> None:
        """Grants a range of keys, or renews the grant.

        Args:
            keys: The range.
            instance: The instance that is to hold it; no other one takes it.
            hold_s: Returns how long the upstream may hold the keys from now on, in
                seconds. Called when a connection stands, right before the call is
                written; an error that it raises is passed on, and nothing is sent.
            timeout_s: Time limit of the call.

        Raises:
            GrantRefused: The upstream has seen a higher token.
            UpstreamCallFailed: No answer; the grant may still take effect.
        """
        body: dict[str, object] = {
            "from": keys.first,
            "to": keys.last,
            "fence": keys.token,
        }
        if keys.handover:
            body["handover"] = keys.handover

        def complete(request: Request) -> Request:
            """Adds the duration, which counts from the arrival of the call."""
            timed = body | {"hold_ms": int(hold_s() * MS_PER_S)}
            return replace(request, body=BytesBody(msgspec.json.encode(timed)))

        named = ((names.EXPECTED_INSTANCE, instance.encode("ascii")),)
        response = await self._call(names.GRANT_PATH, body, timeout_s, named, complete)
        if response.status == MISDIRECTED:
            detail = f"grant: another instance than {instance} answers"
            raise UpstreamCallFailed(detail, sent=False, refused=True)
        if response.status == CONFLICT:
            raise GrantRefused(f"keys {keys.first}-{keys.last}, token {keys.token}")
        if response.status != OK:
            raise UpstreamCallFailed(f"grant: status {response.status}")

    async def release(self, keys: KeyRange, timeout_s: float) -> str:
        """Releases a range of keys; returns once the work on them has ended.

        Returns:
            Hand-over token that saves the next owner the warm-up, or "".

        Raises:
            UpstreamCallFailed: No answer; the upstream may still hold the keys.
        """
        body = {"from": keys.first, "to": keys.last, "fence": keys.token}
        response = await self._call(names.RELEASE_PATH, body, timeout_s)
        if response.status != OK:
            raise UpstreamCallFailed(f"release: status {response.status}")
        token = find_header(response.headers, names.HANDOVER) or b""
        return token.decode("ascii", "replace")

    async def probe(self, health_path: str, timeout_s: float) -> UpstreamLoad | None:
        """Requests the upstream's health path and returns the reported load.

        Raises:
            UpstreamCallFailed: No answer came.
        """
        path = health_path.encode("ascii")
        response = await self._call(path, None, timeout_s)
        return _load(find_header(response.headers, names.LOAD))

    async def identify(self, health_path: str, timeout_s: float) -> str:
        """Requests the upstream's health path; returns the instance that answers.

        Returns:
            The instance, "" if the answer does not name it.

        Raises:
            UpstreamCallFailed: No answer came.
        """
        response = await self._call(health_path.encode("ascii"), None, timeout_s)
        instance = find_header(response.headers, names.INSTANCE) or b""
        return instance.decode("ascii", "replace")

    async def check_listens(self, timeout_s: float) -> None:
        """Checks that the upstream accepts a connection, which requests use later.

        Raises:
            UpstreamCallFailed: It does not listen, or accepted none in time.
        """
        try:
            await self._pool.prepare(self._address, timeout_s)
        except ConnectFailed as error:
            raise UpstreamCallFailed(repr(error), False, error.refused) from error
        except ProxyTimeout as error:
            raise UpstreamCallFailed(repr(error), False) from error

    async def run(self, upstream_request: UpstreamRequest) -> UpstreamResult:
        """Sends a request and reads its whole answer.

        Args:
            upstream_request: The request and the instance that is to run it.

        Returns:
            The result; an answer to another request counts as a failure.
        """
        routed = upstream_request.request
        request = Request(
            routed.method,
            routed.target,
            _headers(upstream_request),
            BytesBody(routed.body),
            self._address,
        )
        try:
            response = await self._pool.send(
                self._address,
                request,
                upstream_request.time_left_s,
                upstream_request.max_idle_s,
            )
            body = await self._buffers.read(response.body)
        except ProxyTimeout as error:
            return Failed(error.code, error.sent, timed_out=True)
        except ProxyError as error:
            _log.info(
                "upstream_request_failed",
                request_id=routed.request_id,
                code=error.code,
                detail=error.detail,
            )
            refused = isinstance(error, ConnectFailed) and error.refused
            closed = isinstance(error, SendFailed) or getattr(error, "closed", False)
            return Failed(
                error.code, getattr(error, "sent", True), refused=refused, closed=closed
            )
        result = _classify_answer(response, body)
        if (
            isinstance(result, Failed)
            or response.framing is Framing.CLOSE
            or response.late_copies
        ):
            _log_unusual_answer(routed, response, body, result)
        return result

    async def close(self) -> None:
        """Closes all connections."""
        await self._pool.close()
        await self._calls.close()

    async def _call(
        self,
        path: bytes,
        body: dict[str, object] | None,
        timeout_s: float,
        named: Headers = (),
        complete: Callable[[Request], Request] | None = None,
    ) -> Response:
        """Makes a call, as POST if it has a body, and reads its whole answer.

        Each call has an id. The answers of an upstream that does not echo it can't be
        told apart; each of its calls then gets a connection of its own.
        """
        method, encoded = b"GET", b""
        call_id = f"{self._call_prefix}{next(self._call_numbers):x}"
        headers = [
            (b"host", str(self._address).encode("ascii")),
            (names.REQUEST_ID, call_id.encode("ascii")),
            *named,
        ]
        if body is not None:
            method, encoded = b"POST", msgspec.json.encode(body)
            headers.append((b"content-type", b"application/json"))
        request = Request(
            method, path, tuple(headers), BytesBody(encoded), self._address
        )
        try:
            # The connection's own deadline tells whether the call was sent.
            async with asyncio.timeout(timeout_s + DEADLINE_MARGIN_S):
                response = await self._calls.send(
                    self._address, request, timeout_s, complete=complete
                )
                await read_bytes(response.body, MAX_CALL_ANSWER_BYTES)
        except (ProxyError, TimeoutError) as error:
            sent = getattr(error, "sent", True)
            refused = isinstance(error, ConnectFailed) and error.refused
            detail = f"{path!r}: {error!r}"
            raise UpstreamCallFailed(detail, sent, refused) from error
        if find_header(response.headers, names.SIGNATURE) is not None:
            raise UpstreamCallFailed(f"{path!r}: the answer to another request")
        return response


def _headers(upstream_request: UpstreamRequest) -> Headers:
    """Returns the headers of the request to the upstream."""
    routed = upstream_request.request
    replaced = {names.TIME_LEFT, names.CALLER_SERVICE, names.EXPECTED_INSTANCE}
    end_to_end = tuple(field for field in routed.headers if field[0] not in replaced)
    left_ms = max(1, int(upstream_request.time_left_s * MS_PER_S))
    return (
        *end_to_end,
        (names.TIME_LEFT, b"%d" % left_ms),
        (names.CALLER_SERVICE, routed.caller_service.encode("ascii")),
        (names.EXPECTED_INSTANCE, upstream_request.instance.encode("ascii")),
    )


def _classify_answer(response: Response, body: bytes) -> UpstreamResult:
    """Classifies an answer: the request's own, a rejection or a failure."""
    headers = response.headers
    load = _load(find_header(headers, names.LOAD))
    echoed_id = find_header(headers, names.REQUEST_ID)
    notice = _notice(headers) if echoed_id is not None else None
    rejected = find_header(headers, names.NOT_RUN) is not None
    if rejected or response.status == MISDIRECTED:
        return Rejected(response.status, load, notice)
    if response.status in NOT_RUN_STATUSES:
        return Failed("unproved-rejection", sent=True)
    signed = find_header(headers, names.SIGNATURE) is not None
    if response.status in SUCCESSES and not (signed and echoed_id):
        return Failed("unsigned-answer", sent=True)
    if find_header(headers, b"content-encoding") is not None:
        return Failed("encoded-answer", sent=True)
    return Answered(response.status, headers, body, load, notice)


def _log_unusual_answer(
    routed: RoutedRequest, response: Response, body: bytes, result: UpstreamResult
) -> None:
    """Logs an answer that can't be used, ends with its connection or follows copies."""
    echoed_id = find_header(response.headers, names.REQUEST_ID)
    _log.info(
        "upstream_answer_unusual",
        request_id=routed.request_id,
        code=result.code if isinstance(result, Failed) else "",
        echoed_id=echoed_id.decode("ascii", "replace") if echoed_id else None,
        status=response.status,
        framing=response.framing.value,
        exchange=response.exchange,
        late_copies=response.late_copies,
        body_bytes=len(body),
    )


def _notice(headers: Headers) -> UpstreamNotice:
    """Decodes what the upstream asks of its callers."""
    leaving = find_header(headers, names.LEAVING) == b"1"
    stated = find_header(headers, names.RATE_LIMIT)
    if stated is None:
        return UpstreamNotice(math.inf, leaving)
    try:
        per_s = float(stated) if len(stated) <= MAX_RATE_LIMIT_BYTES else math.nan
    except ValueError:
        per_s = math.nan
    if math.isfinite(per_s) and per_s >= 0:
        return UpstreamNotice(per_s, leaving)
    shown = stated[:MAX_RATE_LIMIT_BYTES].decode("ascii", "replace")
    return UpstreamNotice(None, leaving, shown)


def _load(value: bytes | None) -> UpstreamLoad | None:
    """Decodes an upstream's load; returns None if it is missing or malformed."""
    if value is None or len(value) > MAX_LOAD_BYTES:
        return None
    try:
        running, waiting, slots, *more = (int(part) for part in value.split(b","))
    except ValueError:
        return None
    slowdown = more[0] / 100.0 if more else 1.0
    counts = (running, waiting, slots)
    if not all(0 <= count <= MAX_SLOTS for count in counts):
        return None
    if not 0.0 < slowdown <= MAX_PACE:
        return None
    return UpstreamLoad(running, waiting, slots, slowdown)
