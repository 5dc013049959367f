"""Entry point of `rosemarydeald`, the process beside an upstream."""

from __future__ import annotations

import asyncio
import signal
import sys
from pathlib import Path

import defopt

from rosemarydeal.settings import NodeSettings, load_node

from . import log
from .process import RouterProcess

__all__ = ["main", "run"]

DRAIN_TIMEOUT_S = 30.0
EXIT_OK = 0
EXIT_INCOMPLETE = 1
EXIT_BAD_SETTINGS = 2


def run(file: Path, *, drain_timeout_s: float = DRAIN_TIMEOUT_S) -> int:
    """Runs the process beside an upstream until SIGTERM or SIGINT.

    Args:
        file: Settings of this process, JSON with comments.
        drain_timeout_s: Maximum time for a graceful shutdown, in seconds.

    Returns:
        Exit code: 0 after a clean shutdown, 1 if requests were interrupted or
        the process failed, 2 if the settings are invalid.
    """
    settings = _read_settings(file)
    if settings is None:
        return EXIT_BAD_SETTINGS
    log.configure(settings.log_level)
    clean = asyncio.run(_serve(settings, drain_timeout_s))
    return EXIT_OK if clean else EXIT_INCOMPLETE


def main() -> None:
    """Parses the command line and runs the process."""
    sys.exit(defopt.run(run))


def _read_settings(file: Path) -> NodeSettings | None:
    """Reads the settings and prints all problems; returns None if they are invalid."""
    try:
        text = file.read_text("utf-8")
    except (OSError, UnicodeDecodeError) as error:
        print(f"{file}: file-unreadable: {error}", file=sys.stderr)
        return None
    settings, problems = load_node(text, str(file))
    for problem in problems:
        print(problem, file=sys.stderr)
    return settings


async def _serve(settings: NodeSettings, drain_timeout_s: float) -> bool:
    """Runs the process until a signal arrives or a task fails."""
    process = RouterProcess(settings)
    stop_requested = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop_requested.set)
    await process.start()
    waits = [
        asyncio.create_task(event.wait()) for event in (stop_requested, process.failed)
    ]
    await asyncio.wait(waits, return_when=asyncio.FIRST_COMPLETED)
    for wait in waits:
        wait.cancel()
    if process.failed.is_set():
        await process.stop()
        return False
    return await process.shut_down(drain_timeout_s)


if __name__ == "__main__":
    main()
