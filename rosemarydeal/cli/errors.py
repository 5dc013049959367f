"""Defines the exit codes and errors of the command line.

Scripts decide by the exit code; docs/OPERATING.md says what to do at each.
"""

from __future__ import annotations

from enum import IntEnum

from rosemarydeal.core import CodedError

__all__ = ["CliError", "ExitCode"]


class ExitCode(IntEnum):
    """Names the exit codes; 2 is the argument parser's."""

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
    """Ends a command with an exit code and a stable code.

    Attributes:
        exit_code: Exit code of the process.
    """

    code = "command_failed"

    def __init__(
        self, exit_code: ExitCode, detail: str, code: str | None = None
    ) -> None:
        super().__init__(detail, code or exit_code.name.lower())
        self.exit_code = exit_code
