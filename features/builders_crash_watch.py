"""A guard beside an upstream that a test ends under its runs."""

from __future__ import annotations

import asyncio
import math
from types import SimpleNamespace

from features.builders_fleet_types import a_routed_request, an_identity
from features.builders_rate_limit import a_limited_guard, an_announcement
from features.builders_slots import SETTLE_TURNS, HeldClient
from rosemarydeal.core import Address
from rosemarydeal.core.clock import now
from rosemarydeal.core.fleet import Route
from rosemarydeal.core.requests import Answered, CallerRequest, Failed, UpstreamNotice
from rosemarydeal.node.crash_watch import fingerprint_of
from rosemarydeal.node.entry import Entry
from rosemarydeal.node.health import UpstreamHealth
from rosemarydeal.node.metrics import Metrics
from rosemarydeal.node.progress import Progress
from rosemarydeal.platform.upstream import UpstreamCallFailed
from rosemarydeal.policy.dispatch.crash_suspects import (
    KnownSuspects,
    SuspectRecord,
    request_fingerprint,
)
from rosemarydeal.policy.requests.attempts import Attempts
from rosemarydeal.proxy import BodyBuffers

__all__ = ["CrashWorld", "an_entry"]

ANSWER = Answered(200, (), b"", None, UpstreamNotice(math.inf))
LOST = Failed("send-failed", sent=True, closed=True)
REFUSED = UpstreamCallFailed("refused", sent=False, refused=True)
UNANSWERED = UpstreamCallFailed("no connection in time", sent=False)
# Both have one crash, and run in turn.
CRASHES = ("i-9@1",)
BLOCKING = ("i-7@1", "i-8@1", "i-9@1")


def an_entry(members, node, zone):
    """Returns an entry that reaches all members, and the progress of a suspect there.

    Args:
        members: The members by node.
        node: Node of the entry.
        zone: Its availability zone.
    """
    identity = an_identity(node, "127.0.0.1", Address("127.0.0.1", 1), zone=zone)
    request = a_routed_request(caller_service=identity.service)
    known = KnownSuspects()
    known.merge([SuspectRecord(fingerprint_of(request), CRASHES)], now())
    records = SimpleNamespace(members=members, zones_out=frozenset())
    links = SimpleNamespace(
        is_up=lambda node: True,
        answers=lambda node: True,
        is_leaving=lambda node: False,
        peer_state=lambda node: None,
        outstanding=lambda node: 0,
        limit_delay_s=lambda node: 0.0,
    )
    guard = SimpleNamespace(
        crash_suspects=known, running=0, waiting=0, slowdown=1.0, limit_delay_s=0.0
    )
    buffers = BodyBuffers(1)
    entry = Entry(
        *(identity, records, links, guard, UpstreamHealth(), Metrics()),
        *(buffers, buffers),
    )
    caller = CallerRequest(
        *("r1", "h.example", request.method, request.target, (), request.body, 1.0),
        key=None,
    )
    route = Route("r", "h.example", "/a/", (), True, 3, 1.0, 0.6, 2)
    limits = Attempts(True, 3)
    fingerprint = request_fingerprint(request.method, request.target, request.body)
    progress = Progress(
        caller, fingerprint, route, request.service, 0.0, None, math.inf, limits
    )
    return entry, progress


class CheckedClient(HeldClient):
    """Client whose checks of the connection wait until a test ends them."""

    def __init__(self):
        super().__init__()
        self.check = None

    async def check_listens(self, timeout_s):
        """Waits for what the test makes of the check."""
        self.check = asyncio.get_running_loop().create_future()
        await self.check


class CrashWorld:
    """A guard with requests of the ids r1, r2 and so on.

    Attributes:
        charged: The fingerprints that the peers were told of.
        outcomes: The tasks of the callers by id.
    """

    def __init__(self):
        self.client = CheckedClient()
        self.guard = a_limited_guard(self.client, self._on_crash)
        self.charged = set()
        self.outcomes = {}

    @property
    def state(self):
        """Returns the state of the upstream."""
        return self.guard._watch.state

    async def arrive(self, request_id):
        """Has a request arrive, and runs it as far as it goes."""
        serving = self.guard.serve(self.request(request_id))
        self.outcomes[request_id] = asyncio.create_task(serving)
        await self.settle()

    def request(self, request_id):
        """Returns a request with a path of its own."""
        return a_routed_request(request_id, target=b"/a/" + request_id.encode())

    def fingerprint(self, request_id):
        """Returns the fingerprint of a request."""
        return fingerprint_of(self.request(request_id))

    async def end(self, request_id, result=None):
        """Ends the run of a request, with an answer if no result is given."""
        self.client.open[request_id].set_result(result or ANSWER)
        await self.settle()

    async def end_check(self, error=None):
        """Ends the check of the connection."""
        if error is None:
            self.client.check.set_result(None)
        else:
            self.client.check.set_exception(error)
        await self.settle()

    async def announce(self, instance="i", born_ms=1, **changes):
        """Has an incarnation of the upstream announce itself."""
        identity = self.guard._identity
        announcement = an_announcement(identity, instance, born_ms, **changes)
        self.guard._watch.apply_confirmed(announcement)
        await self.settle()

    def suspect(self, request_id, crashes=CRASHES, exclusive=False):
        """Makes a request a suspect."""
        record = SuspectRecord(self.fingerprint(request_id), crashes, exclusive)
        self.guard.add_crash_suspects([record])

    def block(self, request_id):
        """Makes a request one that is rejected."""
        self.suspect(request_id, BLOCKING, exclusive=True)

    async def settle(self):
        """Runs the event loop until all events have had their consequences."""
        for _ in range(SETTLE_TURNS):
            await asyncio.sleep(0)

    async def close(self):
        """Has all callers leave."""
        for caller in self.outcomes.values():
            caller.cancel()
        await asyncio.gather(*self.outcomes.values(), return_exceptions=True)
        await self.settle()

    def _on_crash(self, records):
        self.charged |= {record.fingerprint for record in records}
