"""Errors of the adapter; failures of HTTP and of codecs become these."""

from __future__ import annotations

from rosemarydeal.core import CodedError

__all__ = [
    "HistoryGone",
    "SettingsWrong",
    "StoreConflict",
    "StoreError",
    "StoreUnavailable",
    "Unreadable",
]


class Unreadable(CodedError):
    """Says that a body from outside doesn't have the form it must have."""

    code = "unreadable"


class SettingsWrong(CodedError):
    """Says that a setting of the process is missing or wrong."""

    code = "settings-wrong"


class StoreError(CodedError):
    """Covers all failures of calls to the store."""

    code = "store-failed"


class StoreUnavailable(StoreError):
    """Says that no answer came, or that the store turned the call away.

    Attributes:
        maybe_done: Whether a write may have taken effect, or still may.
    """

    code = "store-unavailable"

    def __init__(self, detail: str, maybe_done: bool = False) -> None:
        super().__init__(detail)
        self.maybe_done = maybe_done


class StoreConflict(StoreError):
    """Says that the object is at another revision than the write expected."""

    code = "store-conflict"


class HistoryGone(StoreError):
    """Says that a watch can't go on from its revision; list anew."""

    code = "store-history-gone"
