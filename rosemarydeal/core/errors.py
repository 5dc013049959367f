"""Base class of all coded errors, and the source location that some refer to.

Each layer derives its own errors and converts those of the layers below, so that
the callers of a layer handle only its own codes.
"""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["CodedError", "SourceLocation"]


@dataclass(frozen=True, slots=True, order=True)
class SourceLocation:
    """Line of a file; line 0 stands for the whole file."""

    file: str
    line: int = 0

    def __str__(self) -> str:
        """Returns `file:line`, or the file alone without a line."""
        return f"{self.file}:{self.line}" if self.line else self.file


class CodedError(Exception):
    """Error with a stable code and a readable detail.

    Attributes:
        code: Stable identifier, listed in docs/CODES.md.
        detail: Readable description, one sentence.
    """

    code = "internal"

    def __init__(self, detail: str, code: str | None = None) -> None:
        super().__init__(detail)
        self.detail = detail
        if code is not None:
            self.code = code
