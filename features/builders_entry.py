"""An entry whose peers end the attempts of its requests as a test says."""

from __future__ import annotations

from types import SimpleNamespace
from unittest.mock import MagicMock

from features.builders_fleet_types import SERVICE, a_member, a_route, an_identity
from rosemarydeal.core import Address
from rosemarydeal.core.fleet import (
    Bounds,
    CallerLimits,
    Configuration,
    KeyRange,
    RangeTable,
    Service,
)
from rosemarydeal.node.entry import Entry
from rosemarydeal.node.health import UpstreamHealth
from rosemarydeal.policy.dispatch.crash_suspects import KnownSuspects
from rosemarydeal.proxy import BodyBuffers, BytesBody, Request

__all__ = ["LOOKUP", "ORDER", "ScriptedEntry"]

HOST = "h.example"
LOOKUP, ORDER = "/lookup/", "/order/"
CALLER = Address("127.0.0.1", 1)
LAST_KEY = 65535
ATTEMPTS = 4
BUFFER_BYTES = 1_000_000
# No test here is about the retry budget.
AMPLE = Bounds(retry_ratio=1000.0)


class ScriptedEntry:
    """An entry without an upstream of its own, and the members that it reaches.

    Attributes:
        sent: Outcomes of the attempts of the last request, in order.
        metrics: Records how the outcomes were counted.
    """

    def __init__(self, count, keyed):
        """Creates the entry.

        Args:
            count: Number of upstreams that it reaches.
            keyed: Whether their service is keyed; the first one owns all keys.
        """
        nodes = [f"vm-{number}" for number in range(count)]
        owner = a_member(nodes[0])
        keys = KeyRange(0, LAST_KEY, owner.node, owner.incarnation, 1)
        table = RangeTable(SERVICE, (keys,), 1)
        records = SimpleNamespace(
            members={node: a_member(node) for node in nodes},
            zones_out=frozenset(),
            table=lambda service: table,
        )
        links = SimpleNamespace(
            is_up=lambda node: True,
            answers=lambda node: True,
            is_leaving=lambda node: False,
            peer_state=lambda node: None,
            outstanding=lambda node: 0,
            limit_delay_s=lambda node: 0.0,
            run_on_peer=self._run,
        )
        guard = SimpleNamespace(crash_suspects=KnownSuspects())
        self.metrics = MagicMock()
        self.sent, self._script = [], iter(())
        buffers = (BodyBuffers(BUFFER_BYTES), BodyBuffers(BUFFER_BYTES))
        self._entry = Entry(
            an_identity("vm-entry", "127.0.0.1", CALLER, AMPLE, "shop"),
            *(records, links, guard, UpstreamHealth(), self.metrics, *buffers),
        )
        backend = (SERVICE, 100)
        routes = (
            a_route(backend, name="lookup", prefix=LOOKUP, attempts=ATTEMPTS),
            a_route(backend, name="order", prefix=ORDER, idempotent=False),
        )
        service = Service(SERVICE, "/healthz", 80, 0.0, 15.0, keyed, 0.0)
        self._entry.configure(
            Configuration(1, routes, {SERVICE: service}, CallerLimits())
        )

    async def handle(self, prefix, outcomes):
        """Returns the response to a request whose attempts end as given."""
        self.sent, self._script = [], iter(outcomes)
        headers = ((b"host", HOST.encode()), (b"request-id", b"r1"))
        headers += ((b"shard-key", b"7"),)
        target = prefix.encode() + b"1"
        request = Request(b"GET", target, headers, BytesBody(b""), CALLER)
        return await self._entry.handle(request)

    async def _run(self, node, request):
        """Ends an attempt as the script says."""
        outcome = next(self._script)
        self.sent.append(outcome)
        return outcome
