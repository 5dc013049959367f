"""Load on a deployment whose upstreams stutter, and the checks of its answers."""

from __future__ import annotations

import asyncio
import random
from collections import Counter
from dataclasses import dataclass

from features.standin_stutter import StutterShares
from rosemarydeal.proxy import ProxyError

__all__ = ["Sent", "check_answers", "check_orders", "send_load"]

SHARES = StutterShares(copied=0.3, unframed=0.15, refused=0.1, cut=0.05)
# 100 requests a second use a fifth of the thread of all processes.
PAUSE_S = 0.02
# What callers take for the promise that a request has not run.
PROMISES = (408, 421, 429, 503)
SETTLE_S = 0.3


@dataclass(frozen=True)
class Sent:
    """A request that was sent, and its answer; None if its connection failed."""

    request_id: str
    order: bool
    answer: object


async def send_load(deployment, seed, seconds):
    """Sends lookups and orders while the upstreams stutter; returns what came of them.

    Args:
        deployment: The deployment.
        seed: Seed of the keys and kinds.
        seconds: Time for which new requests are sent.
    """
    draws, loop = random.Random(f"load-{seed}"), asyncio.get_running_loop()
    for endpoint in deployment.endpoints.values():
        endpoint.stutter.shares = SHARES
    deadline, tasks = loop.time() + seconds, []
    while loop.time() < deadline:
        for name in deployment.nodes:
            order = draws.random() < 0.5
            request_id = f"{'order' if order else 'lookup'}-{len(tasks)}"
            key = draws.randrange(65536)
            tasks.append(asyncio.create_task(_send(deployment, name, key, request_id)))
        await asyncio.sleep(PAUSE_S)
    sent = await asyncio.gather(*tasks)
    # Requests that still run, although their callers have an answer, end meanwhile.
    await asyncio.sleep(SETTLE_S)
    return sent


async def _send(deployment, name, key, request_id):
    """Sends one request."""
    order = request_id.startswith("order")
    path = "/order/1" if order else "/a/1"
    try:
        answer = await deployment.send_request(name, key, path, request_id)
    except ProxyError:
        answer = None
    return Sent(request_id, order, answer)


def check_answers(sent):
    """Checks that each answer of an upstream is that of its request and whole."""
    for entry in sent:
        if entry.answer is None or not 200 <= entry.answer.status < 300:
            continue
        identity, headers = entry.request_id.encode(), entry.answer.headers
        assert entry.answer.body == b"ran " + identity, entry
        assert headers[b"response-signature"] == b"sig-" + identity, entry
        assert headers[b"request-id"] == identity, entry


def check_orders(deployment, sent):
    """Checks that no order ran twice, or although it was called not run."""
    ran = Counter(r for e in deployment.endpoints.values() for r in e.ran)
    for entry in sent:
        if not entry.order:
            continue
        assert ran[entry.request_id] <= 1, entry
        if entry.answer is not None and entry.answer.status in PROMISES:
            assert not ran[entry.request_id], entry
        if entry.answer is not None and entry.answer.status == 200:
            assert ran[entry.request_id] == 1, entry
