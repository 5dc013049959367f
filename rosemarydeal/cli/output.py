"""Writes results for people and scripts, and messages for people only."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from typing import Any, TextIO

import msgspec

__all__ = ["Output", "format_table"]


@dataclass(frozen=True, slots=True)
class Output:
    """Output streams of a command.

    Attributes:
        results: Receives results only, so that it can be piped.
        messages: Receives progress and errors.
    """

    results: TextIO
    messages: TextIO

    def print_result(self, text: str) -> None:
        """Writes a result for people."""
        print(text, file=self.results)

    def print_json(self, value: Any) -> None:
        """Writes a result for scripts as one JSON document."""
        text = msgspec.json.format(msgspec.json.encode(value), indent=2)
        print(text.decode("utf-8"), file=self.results)

    def print_message(self, text: str) -> None:
        """Writes a line of progress or an error."""
        print(text, file=self.messages, flush=True)


def format_table(headings: Sequence[str], rows: Sequence[Sequence[object]]) -> str:
    """Formats a table with aligned columns.

    Args:
        headings: Heading of each column.
        rows: Cells of each row.

    Returns:
        The headings and one line for each row.
    """
    cells = [[str(cell) for cell in row] for row in (headings, *rows)]
    widths = [max(map(len, column)) for column in zip(*cells, strict=True)]
    lines = ("  ".join(map(str.ljust, row, widths)).rstrip() for row in cells)
    return "\n".join(lines)
