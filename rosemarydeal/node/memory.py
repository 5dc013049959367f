"""Divides the memory of the process.

A process that exceeds its limit is killed, with all requests that it has open. Bodies
of requests share what is left beside the process itself and the answers.
"""

from __future__ import annotations

from rosemarydeal.core.fleet import NodeIdentity
from rosemarydeal.core.requests import NotServed
from rosemarydeal.platform.upstream import ANSWER_BUDGET_BYTES
from rosemarydeal.proxy import BodyBuffers

__all__ = ["NO_MEMORY", "request_bodies", "unread_answers"]

# Code, records of a large fleet and buffers of connections.
PROCESS_BYTES = 80 * 1000 * 1000
# An answer is copied when it is passed on.
ANSWER_COPIES = 2
# Memory for answers that wait for callers who read slowly; each is held twice.
UNREAD_BUDGET_BYTES = 16 * 1024 * 1024
# A body is received in pieces, joined, encoded and buffered for sending: 4.2 times its
# size at the peak, and the memory allocator keeps more.
REQUEST_COPIES = 5
# Most bodies are smaller than this; all connections of callers together hold 24 MB.
FREE_BYTES = 8 * 1024
# Uploads end within seconds and give back their room.
NO_MEMORY = NotServed("no-memory", 1.0)


def request_bodies(identity: NodeIdentity) -> BodyBuffers:
    """Returns the room that the bodies of all open requests share."""
    answer_bytes = ANSWER_COPIES * ANSWER_BUDGET_BYTES
    left_bytes = identity.memory_bytes - PROCESS_BYTES - answer_bytes
    return BodyBuffers(max(0, left_bytes) // REQUEST_COPIES, FREE_BYTES)


def unread_answers() -> BodyBuffers:
    """Returns the room of all answers that their callers have not received yet."""
    return BodyBuffers(UNREAD_BUDGET_BYTES)
