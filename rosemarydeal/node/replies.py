"""Replies to the requests of peers.

The replies to one peer share its link. A reply waits until most of those before it are
sent, since nobody would repeat it. The waiting answers hold room in the memory.
"""

from __future__ import annotations

import asyncio

import structlog

from rosemarydeal.core.requests import OutcomeUnknown
from rosemarydeal.proxy import BodyBuffers, NoBodyRoom

from .frames import FrameConnection
from .messages import AnswerReply, OutcomeUnknownReply, Reply

__all__ = ["Replies"]

# The request has run.
NO_MEMORY = OutcomeUnknown("no-memory")

_log = structlog.get_logger()


class Replies:
    """Sends replies to peers."""

    def __init__(self, answers: BodyBuffers) -> None:
        """Creates replies.

        Args:
            answers: Room of all answers that wait for their receivers.
        """
        self._answers = answers

    async def send(
        self, connection: FrameConnection, reply: Reply, deadline: float
    ) -> None:
        """Sends a reply, if that is possible in time.

        Args:
            connection: Where the request came from.
            reply: Reply to the request.
            deadline: When nobody waits for it any more, by the event loop's clock.
        """
        if not connection.congested:
            connection.send(reply)
            return
        with self._answers.room() as room:
            if isinstance(reply, AnswerReply):
                try:
                    room.grow_to_share(len(reply.body))
                except NoBodyRoom:
                    reply = OutcomeUnknownReply(reply.number, NO_MEMORY, reply.load)
            try:
                async with asyncio.timeout_at(deadline):
                    await connection.send_in_turn(reply)
            except TimeoutError:
                _log.warning(
                    "peer_reply_late", peer=connection.peer, number=reply.number
                )
