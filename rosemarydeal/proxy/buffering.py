"""Limits the memory of messages that are read whole before they are passed on.

Load pattern: peers whose bodies never end, and many large bodies at once. Each body
may always hold a small amount; what exceeds it comes from a budget that all bodies
share, so that a few large ones cannot use up the memory of the process and small ones
are not affected.
"""

from __future__ import annotations

from collections.abc import AsyncIterator

from .errors import BodyTooLarge, NoBodyRoom
from .message import BytesBody, close_body

__all__ = ["BodyBuffers", "BodyRoom", "HeldBody"]

# Most answers are smaller than this.
FREE_BYTES = 256 * 1024
# Bodies that need no more than this share of the budget may use all of it; longer ones
# leave it to them.
SHORT_SHARE = 0.125
# Share of the budget that one body that must not be refused for its length may take.
LARGEST_SHARE = 0.75


class BodyBuffers:
    """Budget that bodies share."""

    def __init__(self, budget_bytes: int, free_bytes: int = FREE_BYTES) -> None:
        """Creates an unused budget.

        Args:
            budget_bytes: Bytes that all bodies together may hold beyond the amount
                that each may always hold.
            free_bytes: That amount.
        """
        self._budget_bytes = budget_bytes
        self._left = budget_bytes
        self._short_bytes = int(SHORT_SHARE * budget_bytes)
        self._free_bytes = free_bytes

    @property
    def left_bytes(self) -> int:
        """Returns the unused part of the budget."""
        return self._left

    @property
    def largest_room_bytes(self) -> int:
        """Returns what one body may take, so that shorter ones find room as well."""
        return int(LARGEST_SHARE * self._budget_bytes) + self._free_bytes

    def room(self) -> BodyRoom:
        """Returns the room of one body, which holds nothing yet."""
        return BodyRoom(self)

    async def read(self, body: AsyncIterator[bytes]) -> bytes:
        """Reads a body to its end; it holds its room until then.

        Raises:
            BodyTooLarge: If the body exceeds what is left of the budget.
        """
        if isinstance(body, BytesBody):
            return body.data
        pieces: list[bytes] = []
        length = 0
        with self.room() as room:
            async for piece in body:
                length += len(piece)
                try:
                    room.grow_to(length)
                except NoBodyRoom as error:
                    await close_body(body)
                    raise BodyTooLarge(error.detail) from error
                pieces.append(piece)
            return b"".join(pieces)

    def take(self, held_bytes: int, length: int) -> int:
        """Takes what a body needs beyond what it holds; used by `BodyRoom`.

        Returns:
            What the body holds then.

        Raises:
            NoBodyRoom: If too little of the budget is left.
        """
        needed = max(held_bytes, length - self._free_bytes, 0)
        reserved_bytes = self._short_bytes if needed > self._short_bytes else 0
        if needed > held_bytes and needed - held_bytes > self._left - reserved_bytes:
            raise NoBodyRoom(f"no memory for a body of {length} bytes")
        self._left -= needed - held_bytes
        return needed

    def give_back(self, held_bytes: int) -> None:
        """Gives back what a body holds; used by `BodyRoom`."""
        self._left += held_bytes


class BodyRoom:
    """Room of one body; a context manager that gives it back at its end."""

    def __init__(self, buffers: BodyBuffers) -> None:
        self._buffers = buffers
        self._held_bytes = 0

    def grow_to(self, length: int) -> None:
        """Takes room for a body of a length, unless it has as much.

        Raises:
            NoBodyRoom: If too little of the budget is left.
        """
        self._held_bytes = self._buffers.take(self._held_bytes, length)

    def grow_to_share(self, length: int) -> None:
        """Takes room for a body that must not be refused for its length alone.

        Raises:
            NoBodyRoom: If other bodies have too much of the budget.
        """
        self.grow_to(min(length, self._buffers.largest_room_bytes))

    def __enter__(self) -> BodyRoom:
        return self

    def __exit__(self, *_error: object) -> None:
        self.give_back()

    def give_back(self) -> None:
        """Gives back what is held."""
        held_bytes, self._held_bytes = self._held_bytes, 0
        self._buffers.give_back(held_bytes)


class HeldBody(BytesBody):
    """Body in memory that holds its room until it is closed.

    Load pattern: callers that read their answers slowly, or not at all.
    """

    __slots__ = ("_room",)

    def __init__(self, data: bytes, buffers: BodyBuffers) -> None:
        """Takes the room of a body, at most the largest room of one body.

        Raises:
            NoBodyRoom: If too little of the budget is left.
        """
        super().__init__(data)
        self._room = buffers.room()
        self._room.grow_to_share(len(data))

    async def aclose(self) -> None:
        """Gives back the room."""
        self._room.give_back()
