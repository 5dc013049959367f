"""Command line of `rosemarydeal-standin-upstream`."""

from __future__ import annotations

import asyncio
import contextlib
import sys

import defopt

from rosemarydeal.core import Address

from .announcer import Announcer
from .upstream import StandInUpstream, UpstreamBehaviour, UpstreamCounts

__all__ = ["main", "run"]


def run(
    admin: str,
    *,
    host: str = "127.0.0.1",
    port: int = 9000,
    slots: int = 20,
    connections: int = 110,
    service_time_ms: float = 2.0,
    cold_s: float = 30.0,
    cold_share: float = 0.1,
    token: str | None = None,
    check_grants: bool = True,
) -> int:
    """Runs a stand-in upstream until interrupted and prints its counts.

    Args:
        admin: Operators' address of its router process, as IP:port.
        host: IP number to listen on.
        port: Port to listen on.
        slots: Number of requests that it runs concurrently.
        connections: Number of connections that it accepts.
        service_time_ms: Service time of one request, in milliseconds.
        cold_s: Length of the cold start, in seconds.
        cold_share: Share of the slots that it can use at the start.
        token: Operators' token of its router process.
        check_grants: Whether it rejects old fencing tokens.

    Returns:
        Exit code: 1 if a request ran twice.
    """
    behaviour = UpstreamBehaviour(
        slots=slots,
        connections=connections,
        service_time_s=service_time_ms / 1000.0,
        cold_s=cold_s,
        cold_share=cold_share,
        checks_grants=check_grants,
    )
    counts = UpstreamCounts()
    upstream = StandInUpstream(Address(host, port), behaviour, counts)
    announcer = Announcer(upstream, _address(admin), token)
    with asyncio.Runner() as runner, contextlib.suppress(KeyboardInterrupt):
        runner.run(_serve(upstream, announcer))
    print(
        f"{counts.requests} requests, {len(counts.runs)} orders, "
        f"run twice: {counts.run_twice}, overfed cold: {counts.overfed_cold}",
        flush=True,
    )
    return 1 if counts.run_twice else 0


def main() -> None:
    """Runs the command line."""
    sys.exit(defopt.run(run))


async def _serve(upstream: StandInUpstream, announcer: Announcer) -> None:
    """Runs the upstream and its announcements until cancelled."""
    await upstream.start()
    print(f"upstream at {upstream.address}", flush=True)
    try:
        await announcer.run()
    finally:
        await upstream.stop()


def _address(text: str) -> Address:
    """Parses an address of the form `host:port`."""
    host, _, port = text.rpartition(":")
    return Address(host, int(port))


if __name__ == "__main__":
    main()
