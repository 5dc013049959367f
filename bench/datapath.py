"""Benchmark of the data path: processor time per request, memory per connection.

All variants run in one process and are interleaved in each round, so that they
see the same load of the machine. The cost of a relay is the processor time with
it minus the time without it. Background work of the processes is measured over
an idle period of the same length and subtracted.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import statistics
import sys
import time
import tracemalloc
from collections.abc import AsyncIterator, Awaitable, Callable
from dataclasses import asdict, dataclass
from pathlib import Path

from bench.bare_relay import start_bare_relay
from bench.raw_peers import call_all, start_raw_upstream
from rosemarydeal.caller import Call, Caller, CallerSettings
from rosemarydeal.core import Address, Answer
from rosemarydeal.core import headers as header_names
from rosemarydeal.daemon import log
from rosemarydeal.demo.fleet import DeploymentFleet, FleetPlan
from rosemarydeal.proxy import (
    HttpLimits,
    Pool,
    PoolSettings,
    Request,
    Response,
    bytes_response,
    find_header,
    serve,
)

ROUNDS = 9
CONNECTIONS = 8
REQUESTS_PER_CONNECTION = 100
MEMORY_CONNECTIONS = 400
US_PER_S = 1e6
TIMEOUT_S = 10.0
SERVICE = "box-office"
NETWORK = 49
RESULT_FILE = Path("build/datapath.json")
EXTRA_HEADERS = (
    b"User-Agent: bench\r\nAccept: application/json\r\nRosemarydeal-Tenant: touring\r\n"
)
REQUEST_TARGET = b"/shows/7/seats"
SETTLE_S = 25.0
DIRECT = "direct"
BARE_RELAY = "bare h11 relay"
PRODUCT_RELAY = "relay on our server and client"
DIRECT_STAND_IN = "direct to the stand-in"
ONE_HOP = "one hop"
TWO_HOPS = "two hops"
LIBRARY = "one hop by the caller library"
START_ATTEMPTS = 100

Work = Callable[[], Awaitable[None]]


@dataclass(frozen=True, slots=True)
class Row:
    """One figure of the result; written as JSON."""

    measure: str
    variant: str
    value: float
    unit: str


def request_bytes(target: bytes = REQUEST_TARGET) -> bytes:
    """Returns the bytes of a request as a caller sends it."""
    return (
        b"GET "
        + target
        + b" HTTP/1.1\r\nHost: box-office\r\n"
        + EXTRA_HEADERS
        + b"\r\n"
    )


def calls_to(address: Address) -> Work:
    """Returns a callable that sends the requests of one round to an address."""
    requests = [request_bytes()] * CONNECTIONS
    return lambda: call_all(address, requests, REQUESTS_PER_CONNECTION)


def library_calls(caller: Caller) -> Work:
    """Returns a callable that sends one round through the caller library."""

    async def send_requests() -> None:
        call = Call("GET", REQUEST_TARGET.decode())
        for _ in range(REQUESTS_PER_CONNECTION):
            reply = await caller.send(call)
            if not isinstance(reply.outcome, Answer):
                raise RuntimeError(str(reply.outcome))

    async def send_all() -> None:
        await asyncio.gather(*[send_requests() for _ in range(CONNECTIONS)])

    return send_all


async def cost_us(work: Work) -> float:
    """Returns the processor time of one request, in microseconds."""
    started_cpu, started = time.process_time(), time.monotonic()
    await work()
    cpu_s, duration_s = time.process_time() - started_cpu, time.monotonic() - started
    idle_cpu = time.process_time()
    await asyncio.sleep(duration_s)
    cpu_s -= time.process_time() - idle_cpu
    return cpu_s / (CONNECTIONS * REQUESTS_PER_CONNECTION) * US_PER_S


async def measure(works: dict[str, Work]) -> list[dict[str, float]]:
    """Returns the cost per request of each variant, in us, for each round."""
    for work in works.values():
        await work()
    return [
        {name: await cost_us(work) for name, work in works.items()}
        for _ in range(ROUNDS)
    ]


@contextlib.asynccontextmanager
async def relay_works() -> AsyncIterator[dict[str, Work]]:
    """Runs a bare relay and a relay on this project's HTTP server and client."""
    upstream, upstream_address = await start_raw_upstream()
    bare_relay, bare_address = await start_bare_relay(upstream_address)
    pool = Pool(PoolSettings())

    async def forward(request: Request) -> Response:
        return await pool.send(upstream_address, request, TIMEOUT_S)

    product_relay = await serve(forward, Address("127.0.0.1", 0), HttpLimits())
    yield {
        DIRECT: calls_to(upstream_address),
        BARE_RELAY: calls_to(bare_address),
        PRODUCT_RELAY: calls_to(product_relay.address),
    }
    await product_relay.close()
    await pool.close()
    bare_relay.close()
    upstream.close()


@contextlib.asynccontextmanager
async def process_works() -> AsyncIterator[dict[str, Work]]:
    """Runs a deployment; requests enter at the owner or at another process."""
    plan = FleetPlan(Path("examples/fremantle.json"), NETWORK, {SERVICE: 2}, 0.0)
    fleet = DeploymentFleet(plan)
    await fleet.start()
    port = fleet.settings.services[SERVICE].port
    vms = {
        Address(vm.settings.entry_host, port): vm.settings.upstream for vm in fleet.vms
    }
    caller = Caller(CallerSettings(SERVICE, tuple(vms)))
    owner = await _find_owner(caller, tuple(vms))
    other = next(address for address in vms if address != owner)
    yield {
        DIRECT_STAND_IN: calls_to(vms[owner]),
        ONE_HOP: calls_to(owner),
        TWO_HOPS: calls_to(other),
        LIBRARY: library_calls(caller),
    }
    await caller.close()
    await fleet.stop()


async def _find_owner(caller: Caller, entries: tuple[Address, ...]) -> Address:
    """Waits until the key is served and returns the entry of its owner."""
    for _ in range(START_ATTEMPTS):
        reply = await caller.send(Call("GET", REQUEST_TARGET.decode()))
        if isinstance(reply.outcome, Answer):
            break
    # Upstreams are cold and slices still move just after the start.
    await asyncio.sleep(SETTLE_S)
    pool = Pool(PoolSettings())
    host = ((b"host", b"box-office"),)
    owners = []
    for entry in entries:
        request = Request(
            b"GET", REQUEST_TARGET, host, bytes_response(200, b"").body, entry
        )
        async with await pool.send(entry, request, TIMEOUT_S) as response:
            if find_header(response.headers, header_names.OWNER) is None:
                owners.append(entry)
    await pool.close()
    (owner,) = owners
    return owner


async def memory_bytes(busy: bool) -> float:
    """Returns the memory of one caller connection, both ends, in bytes.

    Args:
        busy: Whether a request of the connection is in progress.
    """
    release = asyncio.Event()

    async def handler(request: Request) -> Response:
        if busy:
            await release.wait()
        return bytes_response(200, b"")

    limits = HttpLimits(connections_per_address=MEMORY_CONNECTIONS)
    server = await serve(handler, Address("127.0.0.1", 0), limits)
    started = asyncio.Semaphore(0)

    class CallerConnection(asyncio.Protocol):
        def connection_made(self, transport: asyncio.Transport) -> None:
            transport.write(request_bytes())

        def data_received(self, data: bytes) -> None:
            started.release()

    async def open_all(protocol: type[asyncio.Protocol], count: int) -> list:
        loop = asyncio.get_running_loop()
        address = server.address
        return [
            (await loop.create_connection(protocol, address.host, address.port))[0]
            for _ in range(count)
        ]

    tracemalloc.start()
    await _settle()
    before = tracemalloc.get_traced_memory()[0]
    held = await open_all(CallerConnection, MEMORY_CONNECTIONS)
    if not busy:
        for _ in held:
            await started.acquire()
    await _settle()
    held_bytes = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    for transport in held:
        transport.abort()
    release.set()
    await server.close()
    return held_bytes / MEMORY_CONNECTIONS


async def _settle() -> None:
    """Yields to the event loop so that pending tasks run."""
    for _ in range(20):
        await asyncio.sleep(0.01)


def added_costs(costs: dict[str, float]) -> dict[str, float]:
    """Returns the added cost of each relay in one round, in microseconds."""
    relays = {name: costs[name] - costs[DIRECT] for name in (BARE_RELAY, PRODUCT_RELAY)}
    for name in (ONE_HOP, TWO_HOPS, LIBRARY):
        relays[name] = costs[name] - costs[DIRECT_STAND_IN]
    return relays


def summarise_rounds(rounds: list[dict[str, float]]) -> list[Row]:
    """Returns the medians and ranges over all rounds."""
    relays = [added_costs(costs) for costs in rounds]
    rows = []
    for name in relays[0]:
        values = [costs[name] for costs in relays]
        rows.append(Row("processor time", name, statistics.median(values), "us"))
    for name in relays[0]:
        ratios = [costs[name] / costs[BARE_RELAY] for costs in relays]
        rows.append(Row("ratio to bare", name, statistics.median(ratios), ""))
        rows.append(Row("lowest ratio", name, min(ratios), ""))
        rows.append(Row("highest ratio", name, max(ratios), ""))
    return rows


async def run() -> list[Row]:
    """Runs all measurements and returns the rows."""
    log.configure("critical", sys.stderr)
    async with relay_works() as relays, process_works() as daemon:
        rows = summarise_rounds(await measure(relays | daemon))
    for name, busy in (("idle", False), ("busy", True)):
        held = await memory_bytes(busy)
        rows.append(Row("memory per connection", name, held, "bytes"))
    return rows


def main() -> None:
    """Prints the table and writes the rows as JSON."""
    rows = asyncio.run(run())
    for row in rows:
        print(f"{row.measure:24} {row.variant:34} {row.value:10.2f} {row.unit}")
    RESULT_FILE.parent.mkdir(exist_ok=True)
    RESULT_FILE.write_text(json.dumps([asdict(row) for row in rows], indent=1), "utf-8")


if __name__ == "__main__":
    with contextlib.suppress(KeyboardInterrupt):
        main()
