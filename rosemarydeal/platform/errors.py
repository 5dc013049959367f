"""Errors of the adapter; HTTP and codec failures are converted to these."""

from __future__ import annotations

from rosemarydeal.core import CodedError
from rosemarydeal.core.fleet import StoredObject

__all__ = [
    "ForeignAnswer",
    "HistoryGone",
    "SettingsWrong",
    "StoreConflict",
    "StoreError",
    "StoreRestored",
    "StoreTimeout",
    "StoreUnavailable",
    "Unreadable",
]


class Unreadable(CodedError):
    """A request, body or object from outside is malformed."""

    code = "unreadable"


class SettingsWrong(CodedError):
    """A setting of the process is missing or wrong."""

    code = "settings-wrong"


class StoreError(CodedError):
    """A call to the store failed; base of the store's errors."""

    code = "store-failed"


class StoreUnavailable(StoreError):
    """No answer came, or the store rejected the call.

    Attributes:
        maybe_done: Whether a write may have taken effect or may still do so.
    """

    code = "store-unavailable"

    def __init__(self, detail: str, maybe_done: bool = False) -> None:
        super().__init__(detail)
        self.maybe_done = maybe_done


class StoreTimeout(StoreUnavailable):
    """No answer came in time; the connection may have fallen silent."""

    code = "store-timeout"


class ForeignAnswer(StoreUnavailable):
    """The answer does not fit the call: it belongs to another one, or to none."""

    code = "store-answer-foreign"


class StoreConflict(StoreError):
    """The object is at another revision than the write expected.

    Attributes:
        current: The object as the store holds it, None if the store did not tell.
    """

    code = "store-conflict"

    def __init__(self, detail: str, current: StoredObject | None = None) -> None:
        super().__init__(detail)
        self.current = current


class StoreRestored(StoreConflict):
    """The store was restored since the revision that a write expected.

    Nothing was written: the write was not sent, or was refused.
    """

    code = "store-restored"


class HistoryGone(StoreError):
    """The store has dropped the history after a watch's revision; list again."""

    code = "store-history-gone"
