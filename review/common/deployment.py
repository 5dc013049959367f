"""A small deployment: programs of the project beside stand-in endpoints.

Every machine has a loopback address of its own. The programs are started with the
command of the deploy file and a settings file like the one in DEPLOY.md.
"""

from __future__ import annotations

import asyncio
import os
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from pathlib import Path

from common.endpoint import Endpoint
from common.store import Store
from common.wire import ConnectionEnded, Reply, fetch

ROOT = Path(__file__).resolve().parents[2]
SERVICE = "portal"
HOST_NAME = "shop.example"
# As in DEPLOY.md and the site file vfb-mesh.
BOUNDS = (
    "stability_window_ms=3000",
    "ack_ms=4000",
    "drain_ms=2000",
    "grace_s=6",
    "config_apply_ms=2000",
    "retry_budget_ratio=0.2",
    "budget_window_s=10",
    "retry_budget_slack=58",
    "cold_burst_factor=1.5",
    "cold_slack=5",
    "evacuation_ms=5000",
    "max_hold_ms=10000",
    "thaw_ms=300",
)
ZONES = ("bergen-a", "voss-b", "forde-c")
SETTINGS = """\
node_name = "{name}"
role = "router"
machine_class = "sidecar"
serves = ["sidecar"]
ip = "{host}"
zone = "{zone}"
region = "vestland"
internal_ports = [{ports[4]},{ports[5]}]
seeds = []
bootstrap = {bootstrap}
heartbeat_ms = 870
bounds = [{bounds}]
grants = "call"
app_addr = "{host}:{ports[0]}"
service = "{service}"
[zones]
bergen-a = "vestland"
voss-b = "vestland"
forde-c = "vestland"
[listen]
inbound = "{host}:{ports[6]}"
outbound = "{host}:{ports[1]}"
ready = "{host}:{ports[2]}"
control = "{host}:{ports[3]}"
[provider]
addr = "{store}"
form = "objects"
writes_per_s = 400
reads_per_s = 2000
history_s = 20
value_bytes = 1048576
"""


def configuration(aim_ms: int) -> dict:
    """Returns the operator's configuration."""

    def route(name: str, path: str, kind: str, priority: int) -> dict:
        spec = {
            "hostname": HOST_NAME,
            "path_prefix": path,
            "kind": kind,
            "timeout_ms": 1500,
            "latency_target_ms": aim_ms,
            "priority": priority,
            "service": SERVICE,
            "attempts": 2,
        }
        return {"type": "routes", "metadata": {"name": name}, "spec": spec}

    service = {
        "health_path": "/healthz",
        "max_conns": 160,
        "protocol": "h1",
        "tls": False,
        "cold_period_s": 3.0,
        "cold_per_s": 15.0,
        "sharded": True,
        "warmup_s": 5.0,
        "grants": "call",
    }
    limits = {
        "max_header_bytes": 16384,
        "max_body_bytes": 1048576,
        "header_timeout_ms": 3000,
        "idle_timeout_ms": 15000,
    }
    return {
        "version": 7,
        "resources": [
            route("lookup", "/lookup/", "idempotent", 2),
            route("order", "/order/", "non_idempotent", 1),
            {"type": "services", "metadata": {"name": SERVICE}, "spec": service},
            {"type": "limits", "metadata": {}, "spec": limits},
        ],
    }


@dataclass
class Machine:
    """One machine: its program, its endpoint and its addresses."""

    name: str
    host: str
    zone: str
    ports: list[int]
    settings: Path
    endpoint: Endpoint
    process: asyncio.subprocess.Process | None = None


@dataclass
class Sent:
    """A client's request and what became of it."""

    request_id: str
    key: int
    path: str
    sent: float
    status: int | None = None
    body: bytes = b""


@dataclass
class Overlap:
    """Keys that two endpoints hold at the same time."""

    names: tuple[str, str]
    first: int
    last: int
    fences: tuple[int, int]
    since: float
    until: float

    @property
    def seconds(self) -> float:
        """Returns how long it lasted."""
        return self.until - self.since


@dataclass
class Deployment:
    """Machines, store, clients and the record of what happened."""

    directory: Path
    began: float = field(default_factory=time.monotonic)
    machines: dict[str, Machine] = field(default_factory=dict)
    sent: list[Sent] = field(default_factory=list)
    overlaps: list[Overlap] = field(default_factory=list)
    lines: list[str] = field(default_factory=list)
    # How long clients wait, and how many requests they send a second.
    deadline_s: float = 3.0
    per_s: float = 0.0
    slots: int = 6
    work_s: float = 0.22
    # Numbers that make each path differ, if there are any.
    path_numbers: Iterator[int] | None = None

    async def start(self, count: int, aim_ms: int) -> None:
        """Starts the store, the machines and the watch of the held keys."""
        self.store = Store(self.record)
        self.store_port = await self.store.start("127.0.0.1")
        self.store.put("config", "main", configuration(aim_ms))
        self._open: dict[tuple, Overlap] = {}
        self._tasks = [asyncio.create_task(self._watch_holders())]
        for index in range(count):
            await self.add_machine(index)

    async def add_machine(self, index: int) -> Machine:
        """Starts a machine with its endpoint."""
        host = f"127.0.{10 + os.getpid() % 200}.{index + 1}"
        ports = free_ports(host, 7)
        name, zone = f"sidecar-{index + 1}", ZONES[index % len(ZONES)]
        settings = self.directory / f"{name}.toml"
        settings.write_text(
            SETTINGS.format(
                name=name,
                host=host,
                zone=zone,
                ports=ports,
                bootstrap="true" if index < 3 else "false",
                bounds=",".join(f'"{bound}"' for bound in BOUNDS),
                service=SERVICE,
                store=f"127.0.0.1:{self.store_port}",
            )
        )
        endpoint = Endpoint(
            name,
            host,
            ports[0],
            ports[3],
            SERVICE,
            zone,
            self.record,
            self.slots,
            self.work_s,
        )
        machine = Machine(name, host, zone, ports, settings, endpoint)
        self.machines[name] = machine
        await endpoint.start()
        await self.start_process(machine)
        return machine

    async def start_process(self, machine: Machine) -> None:
        """Starts the program of a machine with the command of the deploy file."""
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        command = deploy["roles"]["router"]["run"].split()
        if command[0] == "python3":
            command[0] = sys.executable
        environment = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        environment["PYTHONPATH"] = str(ROOT / "target/deps")
        environment["ROSEMARYDEAL_NODE_FILE"] = str(machine.settings)
        with (self.directory / f"{machine.name}.log").open("ab") as log:
            machine.process = await asyncio.create_subprocess_exec(
                *command,
                cwd=ROOT,
                env=environment,
                stdin=asyncio.subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        self.record(f"{machine.name}: process started")

    def signal(self, machine: Machine, number: signal.Signals) -> None:
        """Sends a signal to the program of a machine."""
        if machine.process is not None and machine.process.returncode is None:
            machine.process.send_signal(number)
            self.record(f"{machine.name}: {number.name} sent to its process")

    async def kill_and_restart(self, machine: Machine, pause_s: float) -> None:
        """Kills the program of a machine; it is started again after a pause."""
        self.signal(machine, signal.SIGKILL)
        await machine.process.wait()
        await asyncio.sleep(pause_s)
        await self.start_process(machine)

    async def stop(self) -> None:
        """Ends everything that was started."""
        for task in self._tasks:
            task.cancel()
        for machine in self.machines.values():
            if machine.process is not None and machine.process.returncode is None:
                machine.process.kill()
                await machine.process.wait()
            await machine.endpoint.stop()
        await self.store.stop()

    def record(self, line: str) -> None:
        """Adds a line with the time to the record."""
        self.lines.append(f"{time.monotonic() - self.began:8.3f} {line}")

    def last_released(self, within_s: float) -> str | None:
        """Returns the machine whose endpoint last released keys, if lately."""
        machine = max(self.machines.values(), key=lambda m: m.endpoint.released_at)
        age_s = time.monotonic() - machine.endpoint.released_at
        return machine.name if age_s <= within_s else None

    async def wait_for(self, condition: Callable[[], bool], timeout_s: float) -> bool:
        """Waits for a condition; returns whether it was met in time."""
        deadline = time.monotonic() + timeout_s
        while not condition():
            if time.monotonic() > deadline:
                return False
            await asyncio.sleep(0.02)
        return True

    def all_held(self) -> bool:
        """Returns whether each key is held by an endpoint."""
        moment = time.monotonic()
        width = sum(
            hold.last - hold.first + 1
            for machine in self.machines.values()
            for hold in machine.endpoint.held(moment)
        )
        return width >= 65_536

    async def send(
        self, machine: Machine, key: int, path: str, leave_s: float | None = None
    ) -> Sent:
        """Sends a client's request; the client leaves early if that is asked for."""
        if self.path_numbers is not None:
            path += f"/{next(self.path_numbers)}"
        request_id = f"{len(self.sent):016x}"
        sent = Sent(request_id, key, path, time.monotonic())
        self.sent.append(sent)
        headers = {
            "Host": HOST_NAME,
            "Request-Id": request_id,
            "Deadline-Ms": str(int(self.deadline_s * 1000)),
            "Shard-Key": str(key),
        }
        method = "POST" if path.startswith("/order/") else "GET"
        reply: Reply | None = None
        try:
            reply = await fetch(
                *(machine.host, machine.ports[1], method, path, headers),
                body=b"one" if method == "POST" else b"",
                timeout_s=self.deadline_s if leave_s is None else leave_s,
            )
            sent.status, sent.body = reply.status, reply.body
        except (ConnectionEnded, TimeoutError):
            sent.status = None
        self.record(
            f"client at {machine.name}: {method} {path} {request_id} key {key}: "
            f"{sent.status}"
        )
        return sent

    def load(self, per_s: float) -> None:
        """Sends requests for keys all over until the end."""
        self.per_s = per_s
        self._tasks.append(asyncio.create_task(self._load()))

    async def _load(self) -> None:
        pending: set[asyncio.Task] = set()
        number = 0
        due = time.monotonic()
        while True:
            number += 1
            ready = [
                machine
                for machine in self.machines.values()
                if machine.process is not None and machine.process.returncode is None
            ]
            machine = ready[number % len(ready)]
            path = "/order/1" if number % 3 == 0 else "/lookup/1"
            key = number * 4099 % 65_536
            task = asyncio.create_task(self.send(machine, key, path))
            pending.add(task)
            task.add_done_callback(pending.discard)
            due = max(due, time.monotonic() - 1.0) + 1.0 / self.per_s
            await asyncio.sleep(max(0.0, due - time.monotonic()))

    async def _watch_holders(self) -> None:
        """Notes each pair of endpoints that hold the same keys at the same time."""
        while True:
            moment = time.monotonic()
            held = [
                (machine.name, hold)
                for machine in self.machines.values()
                for hold in machine.endpoint.held(moment)
            ]
            seen = set()
            for index, (name, hold) in enumerate(held):
                for other_name, other in held[index + 1 :]:
                    first = max(hold.first, other.first)
                    last = min(hold.last, other.last)
                    if name == other_name or first > last:
                        continue
                    pair = (name, other_name, first, last)
                    seen.add(pair)
                    if pair not in self._open:
                        fences = (hold.fence, other.fence)
                        overlap = Overlap(
                            (name, other_name), first, last, fences, moment, moment
                        )
                        self._open[pair] = overlap
                        self.overlaps.append(overlap)
                        self.record(
                            f"keys {first}-{last} are held by {name} (fence "
                            f"{fences[0]}) and {other_name} (fence {fences[1]})"
                        )
                    self._open[pair].until = moment
            for pair in [pair for pair in self._open if pair not in seen]:
                overlap = self._open.pop(pair)
                self.record(
                    f"keys {pair[2]}-{pair[3]} are held by one again, after "
                    f"{overlap.seconds:.2f} s"
                )
            await asyncio.sleep(0.01)

    def longest_overlap_s(self) -> float:
        """Returns the longest time for which two endpoints held the same keys."""
        return max((overlap.seconds for overlap in self.overlaps), default=0.0)

    def runs_of_both(self) -> list[str]:
        """Returns the requests that both began on keys that they both held."""
        found = []
        for overlap in self.overlaps:
            began = {
                name: [
                    run.request_id
                    for run in self.machines[name].endpoint.runs
                    if run.key is not None
                    and overlap.first <= run.key <= overlap.last
                    and overlap.since <= run.began <= overlap.until
                ]
                for name in overlap.names
            }
            if all(began.values()):
                found.append(f"{overlap.first}-{overlap.last}: {began}")
        return found

    def doubled(self) -> list[str]:
        """Returns the orders that ran more than once."""
        counts: dict[str, int] = {}
        for machine in self.machines.values():
            for run in machine.endpoint.runs:
                counts[run.request_id] = counts.get(run.request_id, 0) + 1
        orders = [sent for sent in self.sent if sent.path.startswith("/order/")]
        return [s.request_id for s in orders if counts.get(s.request_id, 0) > 1]


def free_ports(host: str, count: int) -> list[int]:
    """Returns free ports of an address; the 5th and the 6th are consecutive."""
    while True:
        sockets = []
        try:
            for _ in range(count):
                sockets.append(socket.socket())
                sockets[-1].bind((host, 0))
            ports = [entry.getsockname()[1] for entry in sockets]
            with socket.socket() as following:
                following.bind((host, ports[4] + 1))
                ports[5] = ports[4] + 1
            return ports
        except OSError:
            continue
        finally:
            for entry in sockets:
                entry.close()


def run(
    case: Callable[[Deployment], object],
    count: int,
    folder: Path,
    aim_ms: int = 800,
    slots: int = 6,
    work_s: float = 0.22,
) -> int:
    """Runs a case; returns 1 if the rule was broken, 0 if it held, else 2."""

    async def play() -> int:
        with tempfile.TemporaryDirectory() as directory:
            deployment = Deployment(Path(directory), slots=slots, work_s=work_s)
            verdict = 2
            try:
                async with asyncio.timeout(115):
                    await deployment.start(count, aim_ms)
                    verdict = await case(deployment)
            except Exception as error:  # noqa: BLE001 - the case could not run
                deployment.record(f"the case could not run: {error!r}")
            finally:
                await deployment.stop()
                deployment.record(f"verdict {verdict}")
                text = "\n".join(deployment.lines) + "\n"
                (folder / "record.txt").write_text(text)
                if os.environ.get("LOGS"):
                    shutil.copytree(directory, os.environ["LOGS"], dirs_exist_ok=True)
                print("\n".join(deployment.lines[-3:]))
            return verdict

    return asyncio.run(play())


def with_trouble() -> bool:
    """Returns whether the disruption is to happen."""
    return os.environ.get("TROUBLE", "1") != "0"
