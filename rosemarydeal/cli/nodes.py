"""Reads the status of processes at their admin addresses."""

from __future__ import annotations

import asyncio
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Protocol, TypeVar
from urllib.parse import urlencode

import msgspec

from rosemarydeal.core import (
    Address,
    CodedError,
    Member,
    NodeStatus,
    SliceStatus,
)
from rosemarydeal.proxy import BytesBody, Pool, PoolSettings, Request, read_bytes

__all__ = ["NodeReader", "NodeReport", "NodeSource", "NodeUnreachable", "read_reports"]

RESPONSE_TIMEOUT_S = 2.0
MAX_RESPONSE_BYTES = 1024 * 1024
MAX_CONCURRENT_READS = 200

Decoded = TypeVar("Decoded")


class NodeUnreachable(CodedError):
    """Error for a process that gave no usable response."""

    code = "node_unreachable"


class NodeSource(Protocol):
    """Source of the status of single processes."""

    async def status(self, admin: Address) -> NodeStatus:
        """Returns the status of the process at an address."""

    async def locate(self, admin: Address, service: str, key: str) -> SliceStatus:
        """Returns the status of a key's slice at the process at an address."""


class NodeReader:
    """Reads over HTTP and sends the operators' token if one is set."""

    def __init__(self, token: str) -> None:
        """Creates a reader without open connections.

        Args:
            token: Token that authenticates operators to the processes, may be empty.
        """
        self._token = token
        # Nothing in these answers names the request, so a connection carries one.
        self._pool = Pool(PoolSettings(idle_per_address=0))

    async def status(self, admin: Address) -> NodeStatus:
        """Returns the status of the process at an address.

        Raises:
            NodeUnreachable: If it gives no usable response.
        """
        return await self._read(admin, "/status", NodeStatus)

    async def locate(self, admin: Address, service: str, key: str) -> SliceStatus:
        """Returns the status of a key's slice at the process at an address.

        Raises:
            NodeUnreachable: If it gives no usable response.
        """
        query = urlencode({"service": service, "key": key})
        return await self._read(admin, f"/locate?{query}", SliceStatus)

    async def close(self) -> None:
        """Closes all connections."""
        await self._pool.close()

    async def _read(
        self, admin: Address, target: str, expected: type[Decoded]
    ) -> Decoded:
        """Sends one request to a process and decodes the response."""
        headers = [(b"host", str(admin).encode("ascii"))]
        if self._token:
            headers.append((b"authorization", f"Bearer {self._token}".encode()))
        body = BytesBody(b"")
        request = Request(b"GET", target.encode("ascii"), tuple(headers), body, admin)
        try:
            async with asyncio.timeout(RESPONSE_TIMEOUT_S):
                response = await self._pool.send(admin, request, RESPONSE_TIMEOUT_S)
                content = await read_bytes(response.body, MAX_RESPONSE_BYTES)
        except (CodedError, OSError, TimeoutError) as error:
            detail = getattr(error, "detail", "") or "no answer in time"
            raise NodeUnreachable(f"{admin}: {detail}") from error
        if response.status != 200:
            raise NodeUnreachable(f"{admin}: status {response.status}")
        try:
            return msgspec.json.decode(content, type=expected)
        except msgspec.DecodeError as error:
            raise NodeUnreachable(f"{admin}: {error}") from error


@dataclass(frozen=True, slots=True)
class NodeReport:
    """Status of a member's process, or the reason why it could not be read."""

    member: Member
    status: NodeStatus | None
    problem: str = ""


async def read_reports(
    nodes: NodeSource, members: Iterable[Member]
) -> tuple[NodeReport, ...]:
    """Reads the status of many processes, with bounded concurrency.

    Args:
        nodes: Reads the status of one process.
        members: The processes to query.

    Returns:
        One report for each member, in the order of `members`.
    """
    semaphore = asyncio.Semaphore(MAX_CONCURRENT_READS)

    async def read(member: Member) -> NodeReport:
        async with semaphore:
            try:
                return NodeReport(member, await nodes.status(member.admin))
            except NodeUnreachable as error:
                return NodeReport(member, None, error.detail)

    return tuple(await asyncio.gather(*map(read, members)))
