"""Defines the base of all coded errors and the catalogue of codes.

Each layer derives its own errors and turns those of the layers below into
them, so that a caller of a layer meets that layer's codes only.
"""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["CodedError", "SourceLocation"]


@dataclass(frozen=True, slots=True, order=True)
class SourceLocation:
    """Points at a line of a file; line 0 means the file as a whole."""

    file: str
    line: int = 0

    def __str__(self) -> str:
        """Returns the usual `file:line` form."""
        return f"{self.file}:{self.line}" if self.line else self.file


class CodedError(Exception):
    """Carries a stable code beside the text that people read.

    Attributes:
        code: Stable identifier, listed in docs/CODES.md.
        detail: One sentence for people.
    """

    code = "internal"

    def __init__(self, detail: str, code: str | None = None) -> None:
        super().__init__(detail)
        self.detail = detail
        if code is not None:
            self.code = code
