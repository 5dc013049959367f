"""Runs the process beside an upstream on an operator's platform."""

from __future__ import annotations

import asyncio
import gc
import signal
import sys

import structlog

from rosemarydeal.core.fleet import NodeIdentity
from rosemarydeal.platform.errors import SettingsWrong
from rosemarydeal.platform.node_settings import load_identity

from . import log
from .process import NodeProcess

__all__ = ["run"]

EXIT_OK = 0
EXIT_FAILED = 1
EXIT_BAD_SETTINGS = 2
# Full collections are rare, as scanning the modules' objects stalls requests.
GC_THRESHOLDS = (20_000, 20, 50)

_log = structlog.get_logger()


def run() -> int:
    """Runs until SIGTERM.

    Returns:
        Exit code: 0 after a graceful shutdown, 1 after an error that a running
        process can't repair, 2 if the settings are wrong.
    """
    try:
        identity = load_identity()
    except SettingsWrong as error:
        print(f"{error.code}: {error.detail}", file=sys.stderr)
        return EXIT_BAD_SETTINGS
    sink = log.configure(identity.node)
    gc.collect()
    gc.freeze()
    gc.set_threshold(*GC_THRESHOLDS)
    try:
        return asyncio.run(_serve(identity, sink))
    finally:
        sink.flush()


async def _serve(identity: NodeIdentity, sink: log.LogSink) -> int:
    """Runs the process until it gets a signal or has to end after an error."""
    loop = asyncio.get_running_loop()
    stop_requested = asyncio.Event()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stop_requested.set)
    flusher = asyncio.create_task(sink.run())
    process = NodeProcess(identity)
    loop.add_signal_handler(signal.SIGHUP, _reload, process)
    await process.start()
    process.follow_settings()
    stop = asyncio.create_task(stop_requested.wait())
    failure = asyncio.create_task(process.wait_failed())
    await asyncio.wait((stop, failure), return_when=asyncio.FIRST_COMPLETED)
    if failure.done():
        return EXIT_FAILED
    await process.shut_down()
    flusher.cancel()
    return EXIT_OK


def _reload(process: NodeProcess) -> None:
    """Logs SIGHUP, and reads the settings file again."""
    _log.info("settings_reloaded")
    process.check_settings()
