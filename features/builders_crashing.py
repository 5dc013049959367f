"""Processes beside upstreams that end under a request, and what callers get."""

from __future__ import annotations

import asyncio
import random
import time
from dataclasses import dataclass

from features.builders_addresses import a_loopback_host
from features.builders_node import HOST, a_configuration
from features.builders_node_programs import ProgramDeployment
from features.standin_endpoint import StandInEndpoint
from rosemarydeal.core import Address
from rosemarydeal.proxy import (
    BytesBody,
    Pool,
    PoolSettings,
    ProxyError,
    Request,
    find_header,
    read_bytes,
)

__all__ = [
    "CrashTrial",
    "Fault",
    "check_ends",
    "check_innocent",
    "check_late",
    "check_mixed_ends",
]

VMS = 6
CRASH_AFTER_S = 0.045
# From the end of an upstream to the start of the next at its address.
DOWN_S = 2.5
ORDINARY_PER_S = 60.0
# Popular paths, which several callers ask for at the same time.
POPULAR_PATHS = 4
BEFORE_S = 2.0
START_TRIES = 150
START_PAUSE_S = 0.1
RESTART_PERIOD_S = 4.0
LIMIT_MS = 4000
WORK_S = 0.03
# The platform's rules: late is what arrives this much after the third end.
LATE_AFTER_S = 3.0
LATE_ARRIVALS = 3
MAX_ENDS = 5
# Answers in between may clear the request before it has crashed three times in a row.
MAX_MIXED_ENDS = 9
SERVED_SHARE = 0.95
CULPRIT_PATH = "/culprit"
CULPRIT_KEY = 4711
OTHER_SERVICE = "show-schedule"


@dataclass(frozen=True)
class Fault:
    """How the request that ends upstreams comes.

    Attributes:
        pause_s: Time from one to the next.
        copies: How many come at the same time.
        order: Whether it is an order, which is not repeated.
        keyed: Whether the service is keyed.
        other_body: Whether the same path succeeds with another body.
        other_caller: Whether the same path succeeds for callers of another service.
        restarts: Whether the processes are killed and started in turn.
        share: One in this many requests ends its upstream, the others succeed.
    """

    pause_s: float = 0.4
    copies: int = 1
    order: bool = False
    keyed: bool = False
    other_body: bool = False
    other_caller: bool = False
    restarts: bool = False
    share: int = 1

    @property
    def path(self):
        """Returns the path of the request."""
        return ("/order" if self.order else "/a") + CULPRIT_PATH


class EndingEndpoint(StandInEndpoint):
    """An upstream that ends under a request, and closes all its connections."""

    trial = None
    ended = False

    async def _run(self, request):
        trial = self.trial
        if self._is_culprit(request) and trial.draw_end():
            trial.arrived.append(time.monotonic())
            await asyncio.sleep(CRASH_AFTER_S)
            trial.end_upstream(self)
            await asyncio.sleep(LIMIT_MS / 1000.0)
        return await super()._run(request)

    def _is_culprit(self, request):
        caller = find_header(request.headers, b"caller-service")
        return (
            request.target.endswith(CULPRIT_PATH.encode())
            and find_header(request.headers, b"x-harmless") is None
            and caller != OTHER_SERVICE.encode()
        )


class CrashTrial(ProgramDeployment):
    """A deployment in which a request ends upstreams beside ordinary requests.

    Attributes:
        arrived: When the request arrived at upstreams.
        ended: When an upstream ended under it.
        ordinary: When each ordinary request was sent, with its status and answer.
        begun_at: When the request came first.
    """

    endpoint_type = EndingEndpoint

    def __init__(self, fault, seed, directory):
        count = VMS + fault.other_caller
        super().__init__(count, directory, work_s=WORK_S)
        self.fault = fault
        self.arrived, self.ended, self.ordinary = [], [], []
        self.begun_at = 0.0
        self._random = random.Random(seed)
        self._work = set()
        self._callers = Pool(PoolSettings())
        self._number = 0

    async def start(self):
        """Starts the deployment, and waits until its service is in use."""
        if self.fault.keyed:
            await super().start()
            return
        self.address = await self.store.start("127.0.0.1")
        self.store.put("config", "main", self._unkeyed())
        await self.start_vms()

        for name in self._names:
            await self._wait_served(name)

    def write_settings(self, name, **changes):
        """Writes the settings file of a VM's process; returns its path."""
        if self.is_other(name):
            changes["service"] = OTHER_SERVICE
        return super().write_settings(name, **changes)

    def is_other(self, name):
        """Returns whether a VM belongs to the other service."""
        return self.fault.other_caller and name == self._names[-1]

    def draw_end(self):
        """Returns whether the request ends the upstream that runs it now."""
        return self._random.randrange(self.fault.share) == 0

    def end_upstream(self, endpoint):
        """Ends an upstream at once; another one starts at its address later."""
        names = [n for n, known in self.endpoints.items() if known is endpoint]
        if not names or endpoint.ended:
            return
        endpoint.ended = True
        self.ended.append(time.monotonic())
        self._spawn(self._replace_endpoint(names[0], endpoint))

    async def start_endpoint(self, name):
        """Starts an upstream, which belongs to this trial."""
        service = OTHER_SERVICE if self.is_other(name) else "box-office"
        endpoint = self.endpoint_type(
            name, self.hosts[name], service, self.zone(name), self._work_s
        )
        endpoint.trial = self
        # Later instances at an address have started later.
        endpoint._born = int(time.time() * 1000)
        self.endpoints[name] = endpoint
        await endpoint.start()

    async def run_fault(self, seconds):
        """Sends ordinary requests, and the request among them, for a time."""
        until = time.monotonic() + BEFORE_S + seconds
        self._spawn(self._send_ordinary(until))
        await asyncio.sleep(BEFORE_S)
        self.begun_at = time.monotonic()
        if self.fault.restarts:
            self._spawn(self._restart_in_turn(until))
        while time.monotonic() < until:
            for _ in range(self.fault.copies):
                self._spawn(self._send_culprit())
            await asyncio.sleep(self.fault.pause_s)
        await asyncio.gather(*self._work)

    async def close(self):
        """Ends the deployment."""
        for task in self._work:
            task.cancel()
        await asyncio.gather(*self._work, return_exceptions=True)
        await self._callers.close()
        await super().close()

    async def send(self, name, path, key=None, harmless=False, body=b""):
        """Sends a request as a caller on a VM does.

        Returns:
            The status and the body of its answer; the status is 0 without one.
        """
        self._number += 1
        headers = [
            (b"host", HOST.encode()),
            (b"request-id", b"t%d" % self._number),
            (b"deadline-ms", b"%d" % LIMIT_MS),
        ]
        if key is not None:
            headers.append((b"shard-key", b"%d" % key))
        if harmless:
            headers.append((b"x-harmless", b"1"))
        address = Address(self.hosts[name], 9002)
        method = b"POST" if path.startswith("/order") else b"GET"
        request = Request(
            method, path.encode(), tuple(headers), BytesBody(body), address
        )
        try:
            response = await self._callers.send(address, request, LIMIT_MS / 1000.0)
            return CallerAnswer(response.status, await read_bytes(response.body, 4096))
        except ProxyError:
            return CallerAnswer(0, b"")

    async def start_vms(self):
        """Starts the processes and the upstreams."""
        for index, name in enumerate(self._names):
            self.hosts[name] = a_loopback_host(index + 1)
            await self.start_node(name)
            await self.start_endpoint(name)

    async def _wait_served(self, name):
        """Waits until a process has the configuration and an upstream to send to."""
        for _ in range(START_TRIES):
            if (await self.send(name, "/a/warm")).status == 200:
                return
            await asyncio.sleep(START_PAUSE_S)
        raise AssertionError(f"{name} serves nothing")

    async def _send_culprit(self):
        """Sends the request that ends upstreams, and its harmless likes."""
        names = [name for name in self._names if not self.is_other(name)]
        key = CULPRIT_KEY if self.fault.keyed else None
        if self.fault.other_body:
            name = self._random.choice(names)
            self._spawn(self.send(name, self.fault.path, key, True, b"other"))
        if self.fault.other_caller:
            self._spawn(self.send(self._names[-1], self.fault.path, key))
        await self.send(self._random.choice(names), self.fault.path, key)

    async def _send_ordinary(self, until):
        """Sends ordinary requests at random processes."""
        names = [name for name in self._names if not self.is_other(name)]
        while time.monotonic() < until:
            self._spawn(self._send_one(self._random.choice(names)))
            await asyncio.sleep(self._random.expovariate(ORDINARY_PER_S))

    async def _send_one(self, name):
        """Sends one ordinary request, and records what came of it."""
        sent_at = time.monotonic()
        popular = self._random.random() < 0.5
        number = self._random.randrange(POPULAR_PATHS if popular else 10**6)
        key = self._random.randrange(65536) if self.fault.keyed else None
        answer = await self.send(name, f"/a/{number}", key)
        self.ordinary.append((sent_at, answer))

    async def _replace_endpoint(self, name, endpoint):
        """Ends an upstream and starts the next instance."""
        await endpoint.stop()
        await asyncio.sleep(DOWN_S)
        await self.start_endpoint(name)

    async def _restart_in_turn(self, until):
        """Kills a process and starts it again, one after the other."""
        for name in self._names * 100:
            if time.monotonic() > until - RESTART_PERIOD_S:
                return
            await self.nodes[name].close()
            await self.start_node(name)
            await asyncio.sleep(RESTART_PERIOD_S)

    def _spawn(self, work):
        """Runs work in the background."""
        task = asyncio.create_task(work)
        self._work.add(task)
        task.add_done_callback(self._work.discard)

    def _unkeyed(self):
        """Returns the configuration of a service without keys."""
        configuration = a_configuration(timeout_ms=LIMIT_MS)
        for resource in configuration["resources"]:
            if resource["type"] == "routes":
                resource["spec"]["attempts"] = 3
            if resource["type"] == "services":
                resource["spec"]["sharded"] = False
        return configuration


@dataclass(frozen=True)
class CallerAnswer:
    """Status and body of an answer; the status is 0 without one."""

    status: int
    body: bytes


def check_late(trial):
    """Checks that few requests reach upstreams late.

    Raises:
        AssertionError: More did than the platform's rules allow.
    """
    assert len(trial.ended) >= 1, "no upstream ended"
    if len(trial.ended) < 3:
        return
    late_from = sorted(trial.ended)[2] + LATE_AFTER_S
    late = [round(t - late_from, 2) for t in trial.arrived if t > late_from]
    assert len(late) <= LATE_ARRIVALS, f"{len(late)} late, {len(trial.ended)} ended"


def check_ends(trial):
    """Checks how many upstreams end under one request.

    Raises:
        AssertionError: More did than a request may take with it.
    """
    ended = [round(t - trial.begun_at, 2) for t in trial.ended]
    assert len(ended) <= MAX_ENDS, ended


def check_mixed_ends(trial):
    """Checks how many upstreams end under a request of which some succeed.

    Raises:
        AssertionError: More did than it takes to block it.
    """
    ended = [round(t - trial.begun_at, 2) for t in trial.ended]
    assert 1 <= len(ended) <= MAX_MIXED_ENDS, ended


def check_innocent(trial):
    """Checks that ordinary requests are served as before the fault.

    Raises:
        AssertionError: One was rejected as a suspect, or too few were served.
    """
    suspected = [a for _, a in trial.ordinary if a.body.startswith(b"crash-suspect")]
    assert not suspected, f"{len(suspected)} of {len(trial.ordinary)}"
    third = sorted(trial.ended)[min(3, len(trial.ended)) - 1] + LATE_AFTER_S
    before = _served([a for t, a in trial.ordinary if t < trial.begun_at])
    after = _served([a for t, a in trial.ordinary if t > third])
    assert after >= SERVED_SHARE * before, (before, after)


def _served(answers):
    """Returns the share of requests that were served."""
    assert answers, "no ordinary request"
    return sum(answer.status == 200 for answer in answers) / len(answers)
