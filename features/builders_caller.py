"""Builds scripted fake entries and callers of them."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from contextlib import AsyncExitStack, asynccontextmanager

from features.builders import incarnation
from features.builders_proxy import running_server
from rosemarydeal.caller import Caller, CallerSettings
from rosemarydeal.core import Address, Answer, NotRun, Outcome, Row, SliceId, Unknown
from rosemarydeal.core import headers as names
from rosemarydeal.core.request_key import KeyRule
from rosemarydeal.core.routes import (
    ROUTES_PATH,
    RoutesReply,
    RouteTable,
    build_routes,
    encode_routes,
)
from rosemarydeal.proxy import (
    Headers,
    Request,
    Response,
    bytes_response,
    find_header,
    read_bytes,
    refusal_response,
)

__all__ = ["DROP_CONNECTION", "FakeEntry", "caller_of", "fleet", "table_of"]

ENTRIES = 3
KEY_RULE = KeyRule(segment=1)
DROP_CONNECTION = "cut"
"""Script result that makes an entry drop the connection after the request ran."""

Script = Callable[[Request], Outcome | str]


class FakeEntry:
    """Entry that answers as a script decides and records its requests."""

    def __init__(self, script: Script) -> None:
        self.script = script
        self.table: RouteTable | None = None
        self.owner: Address | None = None
        self.ticket: int | None = None
        self.requests: list[Request] = []
        self.routes_requests = 0

    async def handle(self, request: Request) -> Response:
        """Answers one request."""
        if request.target.startswith(ROUTES_PATH.encode()):
            return self._routes(request)
        await read_bytes(request.body, 1 << 20)
        self.requests.append(request)
        return self._respond(self.script(request))

    def header(self, name: bytes) -> list[bytes | None]:
        """Returns the value of a header in each received request."""
        return [find_header(request.headers, name) for request in self.requests]

    def _routes(self, request: Request) -> Response:
        """Serves the table if it is newer than the caller's."""
        self.routes_requests += 1
        if self.table is None:
            return bytes_response(404, b"")
        after = int(request.target.rpartition(b"=")[2])
        newer = self.table if self.table.version > after else None
        return bytes_response(
            200, encode_routes(RoutesReply(self.table.version, newer))
        )

    def _ticket_header(self) -> Headers:
        """Returns the ticket header, if a ticket is set."""
        return () if self.ticket is None else ((names.TICKET, b"%d" % self.ticket),)

    def _respond(self, outcome: Outcome | str) -> Response:
        """Builds the response for an outcome."""
        match outcome:
            case Answer(status, headers, body):
                fields = ((names.OUTCOME, names.OUTCOME_ANSWER), *headers)
                if self.owner is not None:
                    fields += ((names.OWNER, str(self.owner).encode()),)
                return bytes_response(status, body, fields)
            case NotRun() | Unknown():
                return refusal_response(outcome, self._ticket_header())
            case _:
                raise asyncio.CancelledError


@asynccontextmanager
async def fleet(script: Script, count: int = ENTRIES):
    """Runs entries on loopback and yields them with their addresses."""
    async with AsyncExitStack() as stack:
        entries = [FakeEntry(script) for _ in range(count)]
        servers = [
            await stack.enter_async_context(running_server(entry.handle))
            for entry in entries
        ]
        yield entries, [server.address for server in servers]


def table_of(
    addresses: list[Address], first: int, version: int = 1, slices: int = 8
) -> RouteTable:
    """Builds a routing table in which one entry owns all slices."""
    entries = {f"box-office-{n}": address for n, address in enumerate(addresses)}
    entry_order = [(first + n) % len(addresses) for n in range(len(addresses))]
    succession = tuple(incarnation(f"box-office-{n}") for n in entry_order)
    rows = [Row(SliceId("box-office", n), version, succession) for n in range(slices)]
    return build_routes("box-office", version, slices, KEY_RULE, entries, rows)


@asynccontextmanager
async def caller_of(seeds: list[Address], **values):
    """Yields a caller with short delays between attempts."""
    settings = CallerSettings("box-office", tuple(seeds), pause_s=0.0005, **values)
    caller = Caller(settings)
    try:
        yield caller
    finally:
        await caller.close()
