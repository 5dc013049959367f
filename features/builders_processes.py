"""Runs a small deployment as separate processes on loopback.

All programs are children of the test: the stand-in platform, and for each VM a
stand-in upstream and the process beside it. Signals go only to these children,
each through its own handle.
"""

from __future__ import annotations

import base64
import json
import os
import shutil
import signal
import socket
import subprocess
import sys
import time
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass
from http.client import HTTPConnection, HTTPException
from pathlib import Path

import zmq

__all__ = [
    "Child",
    "ProcessDeployment",
    "Reply",
    "Vm",
    "new_log_directory",
    "send_request",
    "wait_until",
]

KEPT_LOGS = Path("build/logs")
KEPT_LOG_RUNS = 120
NETWORK = "127.51.0"
TOKEN = "test-operators-token"
ZONES = ("perth-a", "perth-b", "perth-c")
VMS = (
    ("box-office-1", "perth-a"),
    ("box-office-2", "perth-b"),
    ("box-office-3", "perth-c"),
    ("show-schedule-1", "perth-a"),
    ("show-schedule-2", "perth-b"),
)
SLICES = 8
SLOTS = 8
COLD_S = 0.5
WAIT_TIMEOUT_S = 20.0
POLL_S = 0.05
ANSWER_TIMEOUT_S = 25.0
END_TIMEOUT_S = 10.0

DEPLOYMENT = """{
  "deployment": "processes",
  "settings": {
    "limits": {"slots": %(slots)d, "connections": 80},
    "cold_start": {"duration_s": %(cold_s)g, "initial_share": 0.5},
    "deadlines": {"default_ms": 8000, "max_ms": 20000}
  },
  "regions": {"wa-perth": {"availability_zones": {
    "perth-a": {}, "perth-b": {}, "perth-c": {}
  }}},
  "services": {
    "box-office": {
      "port": %(keyed)d,
      "key": {"path_segment": 1},
      "slices": %(slices)d,
      "availability_zones": ["perth-a", "perth-b", "perth-c"],
      "idempotency": [{"methods": ["GET"], "path": "/shows/*/seats"}]
    },
    "show-schedule": {
      "port": %(unkeyed)d,
      "availability_zones": ["perth-a", "perth-b"],
      "idempotency": [{"methods": ["GET"], "path": "/**"}]
    }
  },
  "tenants": {
    "header": "x-tenant",
    "classes": {"families": {"values": ["family"], "weight": 3}}
  }
}
"""


def new_log_directory() -> Path:
    """Creates a directory for the logs of a run, and removes the oldest ones.

    Logs are kept so that a failure that is seen once can be traced.
    """
    KEPT_LOGS.mkdir(parents=True, exist_ok=True)
    for old in sorted(KEPT_LOGS.iterdir())[:-KEPT_LOG_RUNS]:
        shutil.rmtree(old, ignore_errors=True)
    name = f"{time.strftime('%Y%m%dT%H%M%S')}-{os.getpid()}"
    directory = KEPT_LOGS / name
    directory.mkdir(exist_ok=True)
    return directory.absolute()


@dataclass(frozen=True, slots=True)
class Reply:
    """The reply to a caller; its status is 0 if the connection broke."""

    status: int
    outcome: str
    code: str
    body: bytes


def wait_until(
    condition: Callable[[], object], description: str, timeout_s=WAIT_TIMEOUT_S
):
    """Polls until a condition returns a true value and returns that value."""
    deadline = time.monotonic() + timeout_s
    while time.monotonic() < deadline:
        result = condition()
        if result:
            return result
        time.sleep(POLL_S)
    raise AssertionError(f"not true within {timeout_s:g} s: {description}")


def send_request(
    host: str,
    port: int,
    method: str,
    target: str,
    headers: dict[str, str] | None = None,
    body: bytes = b"",
    timeout_s: float = ANSWER_TIMEOUT_S,
) -> Reply:
    """Sends one request over a new connection."""
    connection = HTTPConnection(host, port, timeout=timeout_s)
    try:
        connection.request(method, target, body, headers or {})
        response = connection.getresponse()
        content = response.read()
        outcome = response.headers.get("rosemarydeal-outcome", "")
        code = response.headers.get("rosemarydeal-code", "")
        return Reply(response.status, outcome, code, content)
    except (OSError, HTTPException) as error:
        return Reply(0, "broken", type(error).__name__, b"")
    finally:
        connection.close()


class Child:
    """A program that the test starts."""

    def __init__(self, log: Path, *arguments: str) -> None:
        self._log = log
        self._arguments = arguments
        self._running: subprocess.Popen | None = None

    @property
    def alive(self) -> bool:
        """Returns whether the program has started and not ended; it may be paused."""
        return self._running is not None and self._running.poll() is None

    @property
    def output(self) -> str:
        """Returns the output of the program over all its starts."""
        return self._log.read_text("utf-8") if self._log.exists() else ""

    def start(self) -> None:
        """Starts the program unless it is alive."""
        if self.alive:
            return
        with self._log.open("ab") as log:
            self._running = subprocess.Popen(
                [sys.executable, "-m", *self._arguments],
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )

    def send(self, number: signal.Signals) -> None:
        """Sends a signal to the program if it is alive."""
        if self.alive:
            self._running.send_signal(number)

    def kill(self) -> None:
        """Kills the program and waits for its end."""
        self.send(signal.SIGKILL)
        self.wait()

    def wait(self) -> int | None:
        """Waits until the program has ended and returns its exit code."""
        return self._running.wait(END_TIMEOUT_S) if self._running else None


@dataclass(frozen=True, slots=True)
class Vm:
    """A VM: an upstream and the process beside it."""

    name: str
    zone: str
    host: str
    admin_port: int
    upstream_port: int
    process: Child
    upstream: Child

    @property
    def service(self) -> str:
        """Returns the service that the upstream serves."""
        return self.name.rpartition("-")[0]

    @property
    def log_lines(self) -> list[dict]:
        """Returns the entries of the process's log, one JSON object per line."""
        return [json.loads(line) for line in self.process.output.splitlines()]

    def admin(self, target: str, token: str | None = TOKEN) -> Reply:
        """Sends a request to the admin port."""
        headers = {} if token is None else {"authorization": f"Bearer {token}"}
        return send_request(
            self.host, self.admin_port, "GET", target, headers, timeout_s=2.0
        )

    def status(self) -> dict:
        """Returns the status of the process, empty without an answer."""
        reply = self.admin("/status")
        return json.loads(reply.body) if reply.status == 200 else {}

    def counts(self) -> dict:
        """Returns the counters of the upstream, empty without an answer."""
        reply = send_request(self.host, self.upstream_port, "GET", "/standin/counts")
        return json.loads(reply.body) if reply.status == 200 else {}


class ProcessDeployment:
    """Owns the platform, the VMs and the counters of killed upstreams."""

    def __init__(self, directory: Path) -> None:
        hosts = [f"{NETWORK}.{number}" for number in range(1, 12 + len(VMS))]
        ports = _free_ports(hosts, 6)
        self._platform_port, self._peer_port, self._admin_port = ports[:3]
        self._upstream_port, self.keyed_port, self.unkeyed_port = ports[3:]
        self.directory = directory
        self.platform_address = f"{NETWORK}.1:{self._platform_port}"
        self._lost_runs: Counter[str] = Counter()
        self.platform = Child(
            directory / "platform.log",
            "rosemarydeal.standins.platform_main",
            f"--host={NETWORK}.1",
            f"--port={self._platform_port}",
        )
        self._pairs = [zmq.curve_keypair() for _ in VMS]
        self.vms = {name: self._build(n) for n, (name, _) in enumerate(VMS)}

    @property
    def children(self) -> list[Child]:
        """Returns all programs."""
        processes = [c for vm in self.vms.values() for c in (vm.process, vm.upstream)]
        return [self.platform, *processes]

    def keyed(self) -> list[Vm]:
        """Returns the VMs of the service with keys."""
        return [vm for vm in self.vms.values() if vm.service == "box-office"]

    def apply(self) -> None:
        """Starts the platform and applies the configuration."""
        self.platform.start()
        host, _, port = self.platform_address.rpartition(":")
        answers = lambda: send_request(host, int(port), "GET", "/objects").status == 200  # noqa: E731
        wait_until(answers, "the platform answers")
        values = {
            "slots": SLOTS,
            "slices": SLICES,
            "cold_s": COLD_S,
            "keyed": self.keyed_port,
            "unkeyed": self.unkeyed_port,
        }
        file = self.directory / "deployment.json"
        file.write_text(DEPLOYMENT % values, "utf-8")
        completed = self.operate("apply", str(file))
        assert completed.returncode == 0, completed.stderr

    def restore(self) -> None:
        """Resumes and restarts all programs and waits until all slices are served."""
        for child in self.children:
            child.send(signal.SIGCONT)
            child.start()
        try:
            wait_until(
                self._is_serving, "all slices are served and all processes are up"
            )
        except AssertionError as error:
            statuses = [vm.status() or vm.name for vm in self.vms.values()]
            raise AssertionError(f"{error}; {statuses}; {self.rows()}") from error

    def _is_serving(self) -> bool:
        """Returns whether all processes are up and all slices are served."""
        statuses = [vm.status() for vm in self.vms.values()]
        healthy = all(
            s
            and s["lease_valid"]
            and s["upstream_up"]
            and s["phase"] == "up"
            and s["platform_reachable"]
            and not s["cold"]
            for s in statuses
        )
        rows = self.rows()
        served = sum(s["owned"] for s in statuses if s) == len(rows) >= SLICES
        return healthy and served and not any(row["retiring"] for row in rows)

    def rows(self) -> list[dict]:
        """Returns the rows of all slices as stored in the platform."""
        host, _, port = self.platform_address.rpartition(":")
        listing = send_request(host, int(port), "GET", "/objects?prefix=slices%2F")
        objects = json.loads(listing.body)["objects"]
        chunks = [json.loads(base64.b64decode(item["value"])) for item in objects]
        return [row for chunk in chunks for row in chunk["rows"]]

    def owner(self, key: str, excluding: Vm | None = None) -> Vm:
        """Waits until a VM other than `excluding` serves a key and returns the VM."""

        def find() -> Vm | None:
            for vm in [vm for vm in self.keyed() if vm is not excluding]:
                reply = vm.admin(f"/locate?service=box-office&key={key}")
                if reply.status == 200 and json.loads(reply.body)["owned_here"]:
                    return vm
            return None

        return wait_until(find, f"{key} is served")

    def other_entry(self, vm: Vm) -> Vm:
        """Returns another VM of the keyed service whose process answers."""
        others = [other for other in self.keyed() if other is not vm]
        return next(other for other in others if other.status())

    def runs(self, request_id: str) -> int:
        """Returns how often an order ran at all upstreams, killed ones included."""
        runs = self._lost_runs[request_id]
        for vm in self.vms.values():
            runs += vm.counts().get("runs", {}).get(request_id, 0)
        return runs

    def kill_upstream(self, vm: Vm) -> None:
        """Kills an upstream after saving its counters."""
        self._lost_runs.update(vm.counts()["runs"])
        vm.upstream.kill()

    def order(
        self, vm: Vm, key: str, request_id: str, work_ms: int = 0, attempt="first"
    ) -> Reply:
        """Sends an order for a key to a VM's entry."""
        headers = {
            "idempotency-key": request_id,
            "rosemarydeal-attempt": attempt,
            "standin-work-ms": str(work_ms),
            "x-tenant": "family",
        }
        body = request_id.encode("ascii")
        return send_request(
            vm.host, self.keyed_port, "POST", f"/shows/{key}/orders", headers, body
        )

    def look_up(self, vm: Vm, service: str = "box-office", key: str = "k") -> Reply:
        """Sends an idempotent request to a VM's entry."""
        port = self.keyed_port if service == "box-office" else self.unkeyed_port
        return send_request(vm.host, port, "GET", f"/shows/{key}/seats")

    def operate(self, *arguments: str) -> subprocess.CompletedProcess:
        """Runs the operators' command line in a separate process."""
        environment = {
            **os.environ,
            "ROSEMARYDEAL_PLATFORM": self.platform_address,
            "ROSEMARYDEAL_TOKEN": TOKEN,
            "ROSEMARYDEAL_OPERATOR": "eva",
        }
        return subprocess.run(
            [sys.executable, "-m", "rosemarydeal.cli.main", *arguments],
            env=environment,
            stdin=subprocess.DEVNULL,
            capture_output=True,
            text=True,
            timeout=60,
            check=False,
        )

    def end(self) -> None:
        """Kills all programs that are still alive."""
        for child in self.children:
            child.send(signal.SIGKILL)
        for child in self.children:
            child.wait()

    def node_file(self, position: int) -> Path:
        """Writes a VM's node file and returns its path."""
        name, zone = VMS[position]
        host = _host(position)
        public, secret = (key.decode("ascii") for key in self._pairs[position])
        settings = {
            "node": name,
            "region": "wa-perth",
            "availability_zone": zone,
            "service": name.rpartition("-")[0],
            "upstream": f"{host}:{self._upstream_port}",
            "entry_host": host,
            "peer": f"{host}:{self._peer_port}",
            "admin": f"{host}:{self._admin_port}",
            "platform": self.platform_address,
            "public_key": public,
            "secret_key": secret,
            "peer_keys": [pair[0].decode("ascii") for pair in self._pairs],
            "token": TOKEN,
        }
        file = self.directory / f"{name}.json"
        file.write_text(json.dumps(settings), "utf-8")
        return file

    def _build(self, position: int) -> Vm:
        """Builds a VM without starting it."""
        name, zone = VMS[position]
        host = _host(position)
        process = Child(
            self.directory / f"{name}.log",
            "rosemarydeal.daemon.main",
            str(self.node_file(position)),
        )
        upstream = Child(
            self.directory / f"{name}-upstream.log",
            "rosemarydeal.standins.upstream_main",
            f"{host}:{self._admin_port}",
            f"--host={host}",
            f"--port={self._upstream_port}",
            f"--slots={SLOTS}",
            "--connections=80",
            f"--cold-s={COLD_S}",
            "--cold-share=0.5",
            f"--token={TOKEN}",
        )
        return Vm(
            name, zone, host, self._admin_port, self._upstream_port, process, upstream
        )


def _host(position: int) -> str:
    """Returns the IP address of a VM."""
    return f"{NETWORK}.{11 + position}"


def _free_ports(hosts: list[str], count: int) -> list[int]:
    """Returns ports that are free on all of the hosts."""
    ports: list[int] = []
    while len(ports) < count:
        with socket.create_server((hosts[0], 0)) as server:
            port = server.getsockname()[1]
        if port not in ports and all(_is_free(host, port) for host in hosts):
            ports.append(port)
    return ports


def _is_free(host: str, port: int) -> bool:
    """Returns whether a port is free on a host."""
    try:
        socket.create_server((host, port)).close()
    except OSError:
        return False
    return True
