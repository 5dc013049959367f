"""Exit codes and errors of the command line.

Scripts branch on the exit code; docs/OPERATING.md describes how to act on each.
"""

from __future__ import annotations

from enum import IntEnum

from rosemarydeal.core import CodedError

__all__ = ["CliError", "ExitCode"]


class ExitCode(IntEnum):
    """Exit codes of the process; 2 is also used by the argument parser."""

    DONE = 0
    FAILED = 1
    USAGE = 2
    SETTINGS_WRONG = 3
    CONFLICT = 4
    NOT_IN_FORCE = 5
    PLATFORM_UNAVAILABLE = 6
    OUTCOME_UNKNOWN = 7
    REFUSED = 8
    NOT_FOUND = 9
    NO_ANSWER = 10


class CliError(CodedError):
    """Error that ends a command with an exit code and a stable error code.

    Attributes:
        exit_code: Exit code of the process.
    """

    code = "command_failed"

    def __init__(
        self, exit_code: ExitCode, detail: str, code: str | None = None
    ) -> None:
        super().__init__(detail, code or exit_code.name.lower())
        self.exit_code = exit_code
