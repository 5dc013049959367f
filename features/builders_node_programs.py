"""Runs node processes as programs of their own beside stand-ins, on loopback."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import sys
import time
from pathlib import Path

from features.builders_node import Deployment, run

__all__ = ["NodeProgram", "ProgramDeployment", "start_programs"]

GRACE_S = 6.0
# A busy machine ends a process a little later.
END_SLACK_S = 2.0

SETTINGS = """
node_name = "{name}"
zone = "{zone}"
zones = ["perth-a", "perth-b"]
service = "{service}"
ip = "{host}"
app_addr = "{host}:9001"
internal_ports = [9005, 9006]
heartbeat_ms = 300
bounds = ["grace_s={grace_s}"]
grants = "{grants}"
bootstrap = {bootstrap}

[listen]
outbound = "{host}:9002"
ready = "{host}:9003"
control = "{host}:9004"

[provider]
addr = "{store}"

[limits]
memory_mb = {memory_mb}
"""
MEMORY_MB = 300


class NodeProgram:
    """One life of a node process.

    Attributes:
        planned: Whether its end was asked for with SIGTERM.
        killed: Whether it was killed.
    """

    arguments = ("-m", "rosemarydeal.node.main")

    def __init__(self, settings: Path, log: Path) -> None:
        self._settings = settings
        self._log = log
        self._child = None
        self._started_at = 0.0
        self.planned = False
        self.killed = False

    @property
    def age_s(self) -> float:
        """Returns the time since its start."""
        return time.monotonic() - self._started_at

    @property
    def alive(self) -> bool:
        """Returns whether it has not ended yet."""
        return self._child is not None and self._child.returncode is None

    @property
    def peak_bytes(self) -> int:
        """Returns the most memory that it has used."""
        status = Path(f"/proc/{self._child.pid}/status").read_text("ascii")
        (line,) = [one for one in status.splitlines() if one.startswith("VmHWM:")]
        return int(line.split()[1]) * 1024

    async def start(self) -> None:
        """Starts the program."""
        self._started_at = time.monotonic()
        environment = os.environ | {"ROSEMARYDEAL_NODE_FILE": str(self._settings)}
        with self._log.open("ab") as log:
            self._child = await asyncio.create_subprocess_exec(
                *(sys.executable, *self.arguments),
                env=environment,
                stdin=asyncio.subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )

    def send(self, number: signal.Signals) -> None:
        """Sends a signal if it is alive."""
        if not self.alive:
            return
        self.planned |= number is signal.SIGTERM
        self.killed |= number is signal.SIGKILL
        self._child.send_signal(number)

    async def wait_end(self) -> int:
        """Returns the exit code once it has ended.

        Raises:
            TimeoutError: It has not ended within the time between SIGTERM and SIGKILL.
        """
        return await asyncio.wait_for(self._child.wait(), GRACE_S + END_SLACK_S)

    async def close(self) -> None:
        """Kills it if it is alive."""
        self.send(signal.SIGKILL)
        await self._child.wait()


class ProgramDeployment(Deployment):
    """A deployment whose node processes are programs of their own."""

    program_type = NodeProgram

    def __init__(self, count, directory: Path, **settings) -> None:
        super().__init__(count, **settings)
        self._directory = directory

    async def start_node(self, name):
        """Starts a life of the process of a VM."""
        program = self.program_type(
            self.write_settings(name), self._directory / f"{name}.log"
        )
        await program.start()
        self.nodes[name] = program

    def write_settings(self, name, **changes):
        """Writes the settings file of a VM's process; returns its path.

        Args:
            name: Name of the VM.
            changes: Other values than those of the deployment.
        """
        settings = self._directory / f"{name}.toml"
        values = {
            "name": name,
            "zone": self.zone(name),
            "host": self.hosts[name],
            "service": "box-office",
            "store": self.address,
            "grants": self.carrier.name.lower(),
            "bootstrap": str(self.first_start).lower(),
            "grace_s": GRACE_S,
            "memory_mb": MEMORY_MB,
        }
        settings.write_text(SETTINGS.format(**values | changes), "utf-8")
        return settings

    def logged(self, name, event):
        """Returns the log lines of an event that a VM's processes wrote."""
        lines = (self._directory / f"{name}.log").read_text("utf-8").splitlines()
        entries = [json.loads(line) for line in lines if line.startswith("{")]
        return [entry for entry in entries if entry["event"] == event]


def start_programs(context, deployment):
    """Starts a deployment of programs, which is closed with the scenario."""

    def close():
        run(context, deployment.close())
        # Connections of a closed deployment end meanwhile.
        run(context, asyncio.sleep(0.05))
        context.loop.close()

    context.loop = asyncio.new_event_loop()
    context.deployment = deployment
    run(context, deployment.start())
    context.add_cleanup(close)
