"""Limits the memory of messages that are read whole before they are passed on.

Load pattern: faulty peers whose bodies never end. Each body may always hold a small
amount; what exceeds it comes from a budget that all bodies share, so that a few
endless ones cannot use up the memory of the process and small ones are not affected.
"""

from __future__ import annotations

from collections.abc import AsyncIterator

from .errors import BodyTooLarge
from .message import BytesBody, close_body

__all__ = ["BodyBuffers"]

# Most answers are smaller than this.
FREE_BYTES = 256 * 1024


class BodyBuffers:
    """Reads bodies within a budget that they share."""

    def __init__(self, budget_bytes: int) -> None:
        """Creates an unused budget.

        Args:
            budget_bytes: Bytes that all bodies together may hold beyond the amount
                that each may always hold.
        """
        self._left = budget_bytes

    @property
    def left_bytes(self) -> int:
        """Returns the unused part of the budget."""
        return self._left

    async def read(self, body: AsyncIterator[bytes]) -> bytes:
        """Reads a body to its end.

        Raises:
            BodyTooLarge: If the body exceeds what is left of the budget.
        """
        if isinstance(body, BytesBody):
            return body.data
        pieces: list[bytes] = []
        length = reserved = 0
        try:
            async for piece in body:
                length += len(piece)
                needed = max(0, length - FREE_BYTES) - reserved
                if needed > self._left:
                    await close_body(body)
                    raise BodyTooLarge(f"no memory for a body of {length} bytes")
                self._left -= needed
                reserved += needed
                pieces.append(piece)
            return b"".join(pieces)
        finally:
            self._left += reserved
