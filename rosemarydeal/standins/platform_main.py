"""Command line of `rosemarydeal-standin-platform`."""

from __future__ import annotations

import asyncio
import sys

import defopt

from rosemarydeal.core import Address

from .platform import StandInPlatform

__all__ = ["main", "run"]


def run(*, host: str = "127.0.0.1", port: int = 7300) -> int:
    """Runs the stand-in platform until interrupted; objects are held in memory.

    Args:
        host: IP number to listen on.
        port: Port to listen on.

    Returns:
        Exit code 0.
    """
    with asyncio.Runner() as runner:
        try:
            runner.run(_serve(Address(host, port)))
        except KeyboardInterrupt:
            return 0
    return 0


def main() -> None:
    """Runs the command line."""
    sys.exit(defopt.run(run))


async def _serve(address: Address) -> None:
    """Runs the stand-in platform until cancelled."""
    platform = StandInPlatform(address)
    await platform.start()
    print(f"platform at {platform.address}", flush=True)
    try:
        await asyncio.Event().wait()
    finally:
        await platform.stop()


if __name__ == "__main__":
    main()
