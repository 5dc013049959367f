"""Reads what the processes say of themselves at their operators' addresses."""

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
    """Says that a process gave no usable answer."""

    code = "node_unreachable"


class NodeSource(Protocol):
    """Answers operators' queries about single processes."""

    async def status(self, admin: Address) -> NodeStatus:
        """Returns the status of the process at an address."""

    async def locate(self, admin: Address, service: str, key: str) -> SliceStatus:
        """Returns what the process at an address knows of a key."""


class NodeReader:
    """Reads over HTTP; shows the operators' token where there is one."""

    def __init__(self, token: str) -> None:
        """Makes a reader without connections.

        Args:
            token: Token that the processes ask operators for, may be empty.
        """
        self._token = token
        self._pool = Pool(PoolSettings())

    async def status(self, admin: Address) -> NodeStatus:
        """Returns the status of the process at an address.

        Raises:
            NodeUnreachable: If it gives no usable answer.
        """
        return await self._read(admin, "/status", NodeStatus)

    async def locate(self, admin: Address, service: str, key: str) -> SliceStatus:
        """Returns what the process at an address knows of a key.

        Raises:
            NodeUnreachable: If it gives no usable answer.
        """
        query = urlencode({"service": service, "key": key})
        return await self._read(admin, f"/locate?{query}", SliceStatus)

    async def close(self) -> None:
        """Closes all connections."""
        await self._pool.close()

    async def _read(
        self, admin: Address, target: str, expected: type[Decoded]
    ) -> Decoded:
        """Asks a process once and decodes its answer."""
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
    """Pairs a member with the status of its process, or why there is none."""

    member: Member
    status: NodeStatus | None
    problem: str = ""


async def read_reports(
    nodes: NodeSource, members: Iterable[Member]
) -> tuple[NodeReport, ...]:
    """Reads the status of many processes, a few at a time.

    Args:
        nodes: Answers the queries.
        members: The processes to ask.

    Returns:
        One report for each member, in their order.
    """
    semaphore = asyncio.Semaphore(MAX_CONCURRENT_READS)

    async def read(member: Member) -> NodeReport:
        async with semaphore:
            try:
                return NodeReport(member, await nodes.status(member.admin))
            except NodeUnreachable as error:
                return NodeReport(member, None, error.detail)

    return tuple(await asyncio.gather(*map(read, members)))
