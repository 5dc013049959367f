"""A stand-in for an upstream that accepts grants of keys, as documented.

Grants come in calls or in the answers to its heartbeats.

Records the requests that it ran and the keys that it held, for the tests.
"""

from __future__ import annotations

import asyncio
import json
import secrets
import time
from functools import partial

from features.standin_stutter import serve_stuttering
from rosemarydeal.core import Address
from rosemarydeal.proxy import (
    BytesBody,
    HttpLimits,
    Pool,
    PoolSettings,
    Request,
    bytes_response,
    find_header,
    read_bytes,
    serve,
)

ANNOUNCE_S = 0.15
# Pause before the next heartbeat while a release is not complete.
RELEASE_ANNOUNCE_S = 0.05
# Above the largest body that a configuration permits in the tests.
MAX_BODY_BYTES = 128 * 1024 * 1024
MAX_HEAD_BYTES = 128 * 1024
SIGNATURE = b"response-signature"


class StandInEndpoint:
    """An upstream that runs requests for the keys it holds."""

    def __init__(self, node, host, service, zone, work_s=0.01, by_heartbeat=False):
        self.instance = f"i-{node}-{secrets.token_hex(2)}"
        self.ran = []
        self.arrivals = []
        # Stated in its answers: a limit in requests per second, and its leaving.
        self.rate_limit = None
        self.load = None
        self.leaving = False
        self.first_stated_at = None
        self.holds = []
        # Key ranges with the tokens under which they were taken.
        self.taken = []
        # Grants get no answer and take effect so many seconds after their arrival.
        self.late_grants_s = None
        self.late_grants = 0
        self.work_s = work_s
        self.state = "ready"
        self.acknowledged_draining = None
        self.late_arrivals = 0
        self.faulty_answers = {}
        self.times_left_ms = []
        self.caller_services = []
        self.by_heartbeat = by_heartbeat
        self.lose_answers = 0
        self.announce_s = ANNOUNCE_S
        self.handovers_received = set()
        self._released = []
        # Highest tokens seen, by range.
        self._seen = []
        self._running_keys = []
        self.releases_answered = asyncio.Event()
        self.releases_answered.set()
        self._host, self._service, self._zone = host, service, zone
        self._sequence = 0
        self._born = 1_000
        # Whether its health path names it.
        self.names_instance = True
        # Disturbs its answers if it is set before the start.
        self.stutter = None
        self._server = None
        self._task = None
        self._pool = Pool(PoolSettings())

    @property
    def born_ms(self):
        """Returns the start of its present life."""
        return self._born

    async def start(self):
        await self.listen()
        self._task = asyncio.create_task(self._announce())

    async def listen(self):
        """Accepts connections, without an announcement."""
        address = Address(self._host, 9001)
        if self.stutter is None:
            limits = HttpLimits(MAX_HEAD_BYTES, MAX_BODY_BYTES)
            self._server = await serve(self.answer, address, limits)
        else:
            self._server = await serve_stuttering(self.answer, address, self.stutter)

    async def stop(self):
        """Stops as a crashed upstream does, without a departure."""
        self._task.cancel()
        await self.stop_listening()
        await self._pool.close()

    async def stop_listening(self):
        """Closes all connections, and refuses new ones."""
        closing = self._server.close()
        if closing is not None:
            await closing

    def restart(self, born_change=1, renamed=True):
        """Starts a new incarnation, which holds no keys and announces itself."""
        self._task.cancel()
        if renamed:
            self.instance = f"{self.instance}-{secrets.token_hex(2)}"
        self.holds, self._released, self._sequence = [], [], 0
        self._seen = []
        self._born += born_change
        self._task = asyncio.create_task(self._announce())

    def fall_silent(self):
        """Announces itself no more, but runs on."""
        self._task.cancel()

    def pause_announcing(self, seconds):
        """Announces itself again only after a pause."""
        self._task.cancel()

        def go_on():
            self._task = asyncio.create_task(self._announce())

        asyncio.get_running_loop().call_later(seconds, go_on)

    def work_on(self, key):
        """Starts work on a key that does not end."""
        self._running_keys.append(key)

    async def call(self, name, body, instance=None):
        """Calls the process beside the upstream and returns the status."""
        return (await self._exchange(name, body, instance))[0]

    async def _exchange(self, name, body, instance=None):
        """Calls the process beside the upstream; returns the status and the body."""
        address = Address(self._host, 9004)
        path = f"/v1/instances/{instance or self.instance}/{name}".encode()
        encoded = BytesBody(json.dumps(body).encode())
        request = Request(b"POST", path, ((b"host", b"x"),), encoded, address)
        response = await self._pool.send(address, request, 1.0)
        content = await read_bytes(response.body, 4096)
        return response.status, json.loads(content)

    def announcement(self, **changes):
        self._sequence += 1
        fields = {
            "service": self._service,
            "addr": f"{self._host}:9001",
            "zone": self._zone,
            "version": "v1",
            "slots": 8,
            "state": self.state,
            "cold_left_ms": 0,
            "seq": self._sequence,
            "born": self._born,
        }
        if self.by_heartbeat:
            moment = time.monotonic()
            rows = [(a, b, t) for a, b, t, until in self.holds if moment < until]
            fields |= {"holds": rows, "released": list(self._released)}
        return fields | changes

    def held(self, key):
        """Returns whether the upstream holds a key now."""
        moment = time.monotonic()
        return any(a <= key <= b and moment < until for a, b, _, until in self.holds)

    async def answer(self, request: Request):
        body = await read_bytes(request.body, MAX_BODY_BYTES)
        if self.by_heartbeat and request.target.startswith(b"/v1/"):
            return bytes_response(404, b"")
        if request.target == b"/v1/grant":
            expected = find_header(request.headers, b"target-instance")
            if expected not in (None, self.instance.encode()):
                return bytes_response(421, b"")
            if self.late_grants_s is not None:
                await self._grant_late(json.loads(body), self.late_grants_s)
            return self._grant(json.loads(body), time.monotonic())
        if request.target == b"/v1/release":
            return await self._release(json.loads(body))
        if request.target == b"/healthz":
            load = (b"server-load", b"0,0,8,100")
            named = ((b"instance-id", self.instance.encode()),)
            return bytes_response(
                200, b"", (load, *(named if self.names_instance else ()))
            )
        return await self._run(request)

    async def _run(self, request):
        identity = find_header(request.headers, b"request-id")
        if self.acknowledged_draining is not None:
            late = time.monotonic() - self.acknowledged_draining
            self.late_arrivals += late > 2.0
        self.arrivals.append(time.monotonic())
        expected = find_header(request.headers, b"target-instance")
        key = find_header(request.headers, b"shard-key")
        held = key is None or self.held(int(key))
        if expected != self.instance.encode() or not held:
            rejection = ((b"not-executed", b"1"), (b"request-id", identity))
            return bytes_response(421, b"", rejection + self._statements())
        self.ran.append(identity.decode())
        self.times_left_ms.append(int(find_header(request.headers, b"deadline-ms")))
        self.caller_services.append(find_header(request.headers, b"caller-service"))
        if key is not None:
            self._running_keys.append(int(key))
        try:
            await asyncio.sleep(self.work_s)
        finally:
            # The work ends as well when the connection of its request closes.
            if key is not None:
                self._running_keys.remove(int(key))
        own_headers = ((b"request-id", identity), (SIGNATURE, b"sig-" + identity))
        own_headers += self._statements()
        match self.faulty_answers.pop(identity.decode(), None):
            case "foreign":
                other = ((b"request-id", b"other"), (SIGNATURE, b"sig-other"))
                return bytes_response(200, b"other", other)
            case "unsigned":
                return bytes_response(200, b"x", own_headers[:1])
        return bytes_response(200, b"ran " + identity, own_headers)

    def _statements(self):
        """Returns the headers that state its limit and that it leaves."""
        stated = ()
        if self.load is not None:
            stated += ((b"server-load", self.load.encode()),)
        if self.rate_limit is not None:
            stated += ((b"server-limit", str(self.rate_limit).encode()),)
        if self.leaving:
            self.first_stated_at = self.first_stated_at or time.monotonic()
            stated += ((b"server-leaving", b"1"),)
        return stated

    async def _grant_late(self, call, seconds):
        """Carries a grant out later, whether or not its caller waits, unanswered."""
        self.late_grants += 1
        apply = partial(self._grant, call, time.monotonic())
        asyncio.get_running_loop().call_later(seconds, apply)
        await asyncio.Event().wait()

    def _grant(self, call, arrived_at):
        first, last, token = call["from"], call["to"], call["fence"]
        seen = [t for a, b, t in self._seen if a <= last and first <= b]
        if any(t > token for t in seen):
            return bytes_response(409, b"")
        until = arrived_at + call["hold_ms"] / 1000
        if until <= time.monotonic():
            return bytes_response(200, b"")
        self._seen.append((first, last, token))
        self._remove_held(first, last)
        self.holds.append((first, last, token, until))
        self.taken.append((time.monotonic(), first, last, token))
        return bytes_response(200, b"")

    async def _release(self, call):
        await self.releases_answered.wait()
        self._remove_held(call["from"], call["to"])
        return bytes_response(200, b"", ((b"handover", b"h-1"),))

    def _remove_held(self, first, last):
        remaining = []
        for a, b, token, until in self.holds:
            if a < first:
                remaining.append((a, min(b, first - 1), token, until))
            if b > last:
                remaining.append((max(a, last + 1), b, token, until))
        self.holds = [h for h in remaining if h[0] <= h[1]]

    def _apply_statement(self, answer, sent_at):
        """Takes the keys that the answer states and releases all others.

        Returns:
            Whether all releases are complete.
        """
        if "holds" not in answer:
            return True
        until = sent_at + answer["hold_ms"] / 1000
        stated = [(a, b, token, until) for a, b, token, _ in answer["holds"]]
        moment = time.monotonic()
        self.taken += [(moment, a, b, token) for a, b, token, _ in answer["holds"]]
        self.handovers_received |= {row[3] for row in answer["holds"] if row[3]}
        before, self.holds = self.holds, []
        for first, last, token, until in before:
            self.holds = [(first, last, token, until)]
            for a, b, _, _ in stated:
                self._remove_held(a, b)
            working = [(k, k, token, until) for k in self._running_keys]
            for a, b, _, _ in self.holds:
                if any(a <= row[0] <= b for row in working):
                    stated.append((a, b, token, until))
                else:
                    self._released.append((a, b, f"h-{a}-{b}"))
        self.holds = stated
        return len(stated) == len(answer["holds"])

    async def _announce(self):
        while True:
            sent_at, released = time.monotonic(), len(self._released)
            complete = True
            try:
                status, answer = await self._exchange("heartbeat", self.announcement())
                if self.lose_answers and "holds" in answer:
                    self.lose_answers -= 1
                else:
                    del self._released[:released]
                    complete = self._apply_statement(answer, sent_at)
            except Exception:  # noqa: BLE001 - the process may be starting
                status = 0
            if status == 200 and self.state == "draining":
                moment = time.monotonic()
                self.acknowledged_draining = self.acknowledged_draining or moment
            await asyncio.sleep(self.announce_s if complete else RELEASE_ANNOUNCE_S)
