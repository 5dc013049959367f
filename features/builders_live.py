"""Runs a small deployment in a thread and commands of the real command line."""

from __future__ import annotations

import asyncio
import io
import sys
from pathlib import Path
from threading import Thread

from features.builders_fleet import free_network
from rosemarydeal.cli.main import run
from rosemarydeal.cli.output import Output
from rosemarydeal.cli.session import CommandContext, open_session, read_environment
from rosemarydeal.daemon import log
from rosemarydeal.demo.fleet import DeploymentFleet, FleetPlan

__all__ = ["LiveDeployment"]

START_TIMEOUT_S = 20.0


class LiveDeployment:
    """Owns a running deployment and the output of the last command."""

    def __init__(self) -> None:
        plan = FleetPlan(
            Path("examples/fremantle.json"),
            free_network(),
            {"box-office": 3, "show-schedule": 1},
        )
        self._loop = asyncio.new_event_loop()
        self._thread = Thread(target=self._loop.run_forever, daemon=True)
        self.fleet = DeploymentFleet(plan)
        self.results = ""
        self.notes = ""

    def start(self) -> None:
        """Starts the platform and all processes."""
        log.configure("error", sys.stderr)
        self._thread.start()
        self.call(self.fleet.start())

    def call(self, work) -> None:
        """Runs a coroutine in the event loop of the deployment."""
        asyncio.run_coroutine_threadsafe(work, self._loop).result(START_TIMEOUT_S)

    def stop(self) -> None:
        """Stops the deployment and its event loop."""
        self.call(self.fleet.stop())
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join(START_TIMEOUT_S)
        self._loop.close()

    def run(self, *arguments: str) -> int:
        """Runs one command against the deployment and returns its exit code."""
        settings = read_environment(
            {
                "ROSEMARYDEAL_PLATFORM": str(self.fleet.platform.address),
                "ROSEMARYDEAL_OPERATOR": "eva",
            }
        )
        results, notes = io.StringIO(), io.StringIO()
        output = Output(results, notes)
        context = CommandContext(lambda: open_session(settings, output), output)
        code = run(list(arguments), context)
        self.results, self.notes = results.getvalue(), notes.getvalue()
        return code
