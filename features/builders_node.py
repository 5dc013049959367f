"""Builds a deployment of real node processes beside stand-ins, on loopback."""

from __future__ import annotations

import asyncio
import logging
from dataclasses import dataclass

import structlog

from features.builders_addresses import a_loopback_host
from features.builders_fleet_types import an_identity
from features.standin_endpoint import StandInEndpoint
from features.standin_store import StandInStore
from features.standin_stutter import Stutter
from rosemarydeal.core import Address
from rosemarydeal.core.fleet import GrantCarrier
from rosemarydeal.node.process import NodeProcess
from rosemarydeal.proxy import BytesBody, Pool, PoolSettings, Request, read_bytes

HOST = "h.example"
# All processes share one thread; 100 requests a second use a fifth of it on an idle
# machine.
LOAD_PAUSE_S = 0.03
MIN_REQUESTS = 201
# Above the largest answer in the tests.
MAX_ANSWER_BYTES = 64 * 1024 * 1024


def a_configuration(version=1, service="box-office", prefix="/a/", timeout_ms=4000):
    def route(name, kind, path, priority):
        spec = {
            "hostname": HOST,
            "path_prefix": path,
            "kind": kind,
            "timeout_ms": timeout_ms,
            "latency_target_ms": 600,
            "priority": priority,
            "service": service,
            "attempts": 2,
        }
        return {"type": "routes", "metadata": {"name": name}, "spec": spec}

    spec = {
        "health_path": "/healthz",
        "max_conns": 80,
        "cold_period_s": 0.5,
        "cold_per_s": 15.0,
        "sharded": True,
        "warmup_s": 1.0,
        "grants": "call",
    }
    resources = [
        route("lookup", "idempotent", prefix, 2),
        route("order", "non_idempotent", "/order/", 1),
        {"type": "services", "metadata": {"name": service}, "spec": spec},
        {"type": "limits", "metadata": {}, "spec": {"idle_timeout_ms": 15000}},
    ]
    return {"version": version, "resources": resources}


@dataclass
class Answer:
    status: int
    body: bytes
    headers: dict
    seconds: float


class Deployment:
    """Runs nodes with their upstreams; every VM has a loopback address."""

    endpoint_type = StandInEndpoint
    # Time until all keys are served after the start.
    start_s = 8.0

    def __init__(
        self, count, work_s=0.01, carrier=GrantCarrier.CALL, stutter_seed=None
    ):
        self.store = StandInStore()
        self.nodes, self.endpoints, self.hosts = {}, {}, {}
        self._names = [f"vm-{chr(ord('a') + i)}" for i in range(count)]
        self._work_s = work_s
        self.carrier = carrier
        self._stutter_seed = stutter_seed
        # Processes that start later do not know that nothing was written before.
        self.first_start = True
        self._pool = Pool(PoolSettings())
        self._count = 0

    async def start(self):
        structlog.configure(
            wrapper_class=structlog.make_filtering_bound_logger(logging.CRITICAL)
        )
        self.address = await self.store.start("127.0.0.1")
        self.store.put("config", "main", a_configuration())
        for index, name in enumerate(self._names):
            self.hosts[name] = a_loopback_host(index + 1)
            await self.start_node(name)
            await self.start_endpoint(name)
        self.first_start = False
        served = lambda: all(self.serves(key) for key in self.sample())  # noqa: E731
        await self.wait(served, self.start_s)

    def zone(self, name):
        return "perth-a" if self._names.index(name) % 2 == 0 else "perth-b"

    async def start_node(self, name):
        identity = an_identity(
            *(name, self.hosts[name], self.address),
            zone=self.zone(name),
            carrier=self.carrier,
            first_start=self.first_start,
        )
        self.nodes[name] = NodeProcess(identity)
        await self.nodes[name].start()

    async def start_endpoint(self, name):
        endpoint = self.endpoint_type(
            *(name, self.hosts[name], "box-office", self.zone(name), self._work_s),
            by_heartbeat=self.carrier is GrantCarrier.HEARTBEAT,
        )
        if self._stutter_seed is not None:
            endpoint.stutter = Stutter(f"{self._stutter_seed}-{name}")
        self.endpoints[name] = endpoint
        await endpoint.start()

    async def replace(self, old, new):
        """Starts another VM at the address of one that has failed."""
        self._names[self._names.index(old)] = new
        self.hosts[new] = self.hosts.pop(old)
        await self.start_node(new)
        await self.start_endpoint(new)

    async def join(self, name):
        """Starts another VM at an address of its own."""
        self._names.append(name)
        self.hosts[name] = a_loopback_host(len(self._names))
        await self.start_node(name)
        await self.start_endpoint(name)

    async def close(self):
        for endpoint in self.endpoints.values():
            await endpoint.stop()
        for node in self.nodes.values():
            await node.close()
        await self._pool.close()
        await self.store.close()

    def sample(self):
        return range(0, 65536, 4096)

    def holders(self, key):
        return [n for n, endpoint in self.endpoints.items() if endpoint.held(key)]

    def serves(self, key):
        return len(self.holders(key)) == 1

    async def wait(self, condition, timeout_s=8.0):
        loop = asyncio.get_running_loop()
        deadline = loop.time() + timeout_s
        while not condition():
            assert loop.time() < deadline, "the condition was not met in time"
            await asyncio.sleep(0.02)

    async def send_request(
        self,
        name,
        key,
        path="/a/1",
        request_id=None,
        time_left_ms=4000,
        host=HOST,
        body=b"",
    ):
        """Sends a request as a caller on a VM does."""
        self._count += 1
        request_id = request_id or f"r{self._count}"
        headers = (
            (b"host", host.encode()),
            (b"request-id", request_id.encode()),
            (b"deadline-ms", b"%d" % time_left_ms),
            (b"shard-key", b"%d" % key),
        )
        address = Address(self.hosts[name], 9002)
        method = b"POST" if path.startswith("/order") else b"GET"
        request = Request(method, path.encode(), headers, BytesBody(body), address)
        sent_at = asyncio.get_running_loop().time()
        response = await self._pool.send(address, request, 5.0)
        body = await read_bytes(response.body, MAX_ANSWER_BYTES)
        seconds = asyncio.get_running_loop().time() - sent_at
        return Answer(response.status, body, dict(response.headers), seconds)


def run(context, work):
    return context.loop.run_until_complete(work)


def start_deployment(context, count, carrier=GrantCarrier.CALL, **settings):
    """Starts a deployment, which is closed with the scenario."""
    context.loop = asyncio.new_event_loop()
    context.deployment = Deployment(count, carrier=carrier, **settings)
    context.doubled = []
    run(context, context.deployment.start())
    watching = watch_holders(context.deployment, context.doubled)
    context.watcher = context.loop.create_task(watching)
    context.add_cleanup(close, context)


def close(context):
    context.watcher.cancel()
    run(context, asyncio.gather(context.watcher, return_exceptions=True))
    run(context, context.deployment.close())
    run(context, asyncio.sleep(0.05))
    context.loop.close()


async def watch_holders(deployment, conflicts):
    """Records each key that several upstreams hold at the same time."""
    while True:
        for key in deployment.sample():
            holders = deployment.holders(key)
            if len(holders) > 1:
                conflicts.append((key, holders))
        await asyncio.sleep(0.005)


async def load(deployment, seconds, entries=None):
    """Sends requests at a fixed interval; returns the answers.

    They come from all VMs unless the VMs are given.
    """
    answers = []
    loop = asyncio.get_running_loop()
    deadline = loop.time() + seconds
    key, tasks = 0, []

    async def one(name, key):
        answers.append(await deployment.send_request(name, key))

    while loop.time() < deadline or len(tasks) < MIN_REQUESTS * (seconds > 1.0):
        for name in entries or deployment.nodes:
            key = (key + 4099) % 65536
            tasks.append(asyncio.create_task(one(name, key)))
        await asyncio.sleep(LOAD_PAUSE_S)
    await asyncio.gather(*tasks)
    return answers
