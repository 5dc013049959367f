"""A guard at which a share of the copies of one request crashes the upstream."""

from __future__ import annotations

import random

from features.builders_crash_watch import LOST, REFUSED, CrashWorld
from features.builders_fleet_types import a_routed_request
from rosemarydeal.core.clock import now
from rosemarydeal.core.requests import NotServed
from rosemarydeal.node.crash_watch import CODE_SUSPECT

__all__ = ["MixedCrashes"]

CULPRIT = "culprit"
HARMLESS = "harmless"


class MixedCrashes(CrashWorld):
    """A guard that is sent copies of a culprit beside those of a harmless request.

    Attributes:
        ended: How often the upstream crashed.
        harmless_rejected: How many harmless copies were rejected as crash suspects.
        culprit: Fingerprint of the request of which some copies crash the upstream.
        harmless: Fingerprint of the other request.
    """

    def __init__(self, seed, share):
        super().__init__()
        self._random = random.Random(seed)
        self._share = share
        self._crashing = set()
        self.ended = 0
        self.harmless_rejected = 0
        self.culprit = self.fingerprint(f"{CULPRIT}-0")
        self.harmless = self.fingerprint(f"{HARMLESS}-0")

    def request(self, request_id):
        """Returns a request with the path of its kind."""
        kind = request_id.partition("-")[0]
        return a_routed_request(request_id, target=b"/a/" + kind.encode())

    def status(self, fingerprint):
        """Returns how a request may run now."""
        return self.guard.crash_suspects.status(fingerprint, now())

    async def play(self, copies):
        """Sends copies of both requests in pairs, each pair in any order."""
        for number in range(copies):
            pair = [f"{CULPRIT}-{number}", f"{HARMLESS}-{number}"]
            if self._random.randrange(self._share) == 0:
                self._crashing.add(pair[0])
            self._random.shuffle(pair)
            for request_id in pair:
                await self.arrive(request_id)
            while self.client.open:
                await self._end_next()
            outcome = self.outcomes.pop(f"{HARMLESS}-{number}").result()
            if isinstance(outcome, NotServed) and outcome.code == CODE_SUSPECT:
                self.harmless_rejected += 1

    async def _end_next(self):
        """Ends the runs with a crash if a run crashes, and the oldest one otherwise."""
        runs = list(self.client.open)
        if not self._crashing.intersection(runs):
            await self.end(runs[0])
            return
        self.ended += 1
        for request_id in runs:
            self.client.open[request_id].set_result(LOST)
        await self.settle()
        await self.end_check(REFUSED)
        await self.announce("j", 1 + self.ended)
