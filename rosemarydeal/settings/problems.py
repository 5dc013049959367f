"""Problems found in settings files.

Checks do not stop at the first problem: each stage returns its data together
with the problems that it found, so that a user sees all of them at once.
"""

from __future__ import annotations

from dataclasses import dataclass

from rosemarydeal.core import SourceLocation

__all__ = ["Problem", "ProblemCode"]


class ProblemCode:
    """Stable codes of problems in settings files."""

    SYNTAX = "syntax"
    DUPLICATE_NAME = "duplicate-name"
    UNKNOWN_NAME = "unknown-name"
    MISSING = "missing-setting"
    WRONG_TYPE = "wrong-type"
    WRONG_UNIT = "wrong-unit"
    IMPOSSIBLE = "impossible-value"
    BAD_NAME = "bad-name"
    BAD_ADDRESS = "bad-address"
    BAD_KEY = "bad-key"
    PORT_TWICE = "port-twice"
    UNKNOWN_SERVICE = "unknown-service"
    UNKNOWN_ZONE = "unknown-zone"
    UNKNOWN_TENANT = "unknown-tenant"
    EMPTY_ZONE = "empty-zone"
    UNUSED = "unused-setting"
    WRONG_BRANCH = "wrong-branch"


@dataclass(frozen=True, slots=True)
class Problem:
    """A problem at one position of a settings file.

    Attributes:
        code: Stable code, one of `ProblemCode`.
        location: File and line.
        path: Names from the file's root down to the value, joined by dots.
        detail: Message for the user.
    """

    code: str
    location: SourceLocation
    path: str
    detail: str

    def __str__(self) -> str:
        """Returns the `file:line: message` form of compilers, which editors parse."""
        return f"{self.location}: {self.path or '(file)'}: {self.detail} [{self.code}]"
