"""Follows the settings file of a running process.

The platform may change the file at any time, with SIGHUP or without any signal. A
process takes over what nothing that is in progress relies on. Other changes take
effect at its next start; until then they are named in the log.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, fields, replace

import structlog

from rosemarydeal.core.fleet import NodeIdentity
from rosemarydeal.platform.errors import SettingsWrong
from rosemarydeal.platform.node_settings import parse_identity, read_settings

__all__ = ["SettingsChange", "SettingsWatch", "follow_settings"]

# A file that changed without a signal is read this much later at most.
CHECK_PERIOD_S = 1.0

_log = structlog.get_logger()


@dataclass(frozen=True, slots=True)
class SettingsChange:
    """What becomes of changed settings.

    Attributes:
        settings: The settings that are in force from now on.
        followed: Names of the settings that take effect.
        pending: Names of those that take effect at the next start.
    """

    settings: NodeIdentity
    followed: tuple[str, ...]
    pending: tuple[str, ...]


def follow_settings(current: NodeIdentity, stated: NodeIdentity) -> SettingsChange:
    """Returns which of the stated settings a running process takes over.

    Former grants may last as long as the former bound of grants allowed, so that the
    process keeps waiting for their ends by that bound. Whether it was started with the
    whole deployment does not change any more.
    """
    stated = replace(stated, first_start=current.first_start)
    bounds = replace(stated.bounds, max_hold_s=current.bounds.max_hold_s)
    settings = replace(
        current,
        store=stated.store,
        announce_period_s=stated.announce_period_s,
        bounds=bounds,
    )
    return SettingsChange(
        settings, _changed(current, settings), _changed(settings, stated)
    )


def _changed(one: NodeIdentity, other: NodeIdentity) -> tuple[str, ...]:
    """Returns the names of the fields that differ."""
    names = [field.name for field in fields(NodeIdentity)]
    return tuple(name for name in names if getattr(one, name) != getattr(other, name))


class SettingsWatch:
    """Reads the settings file regularly and passes its changes on."""

    def __init__(
        self, current: NodeIdentity, apply: Callable[[NodeIdentity], None]
    ) -> None:
        """Creates a watch that has not read the file yet.

        Args:
            current: The settings in force.
            apply: Called with settings that are to be in force.
        """
        self._current = current
        self._apply = apply
        self._text = ""
        self._problem = ""

    async def run(self) -> None:
        """Checks the file until it is cancelled."""
        while True:
            self.check()
            await asyncio.sleep(CHECK_PERIOD_S)

    def check(self) -> None:
        """Reads the file and applies a change; an unreadable file changes nothing."""
        try:
            text = read_settings()
            if text == self._text:
                return
            self._text = text
            stated = parse_identity(text)
        except SettingsWrong as error:
            self._note_problem(error.detail)
            return
        self._problem = ""
        change = follow_settings(self._current, stated)
        if change.followed or change.pending:
            _log.info(
                "settings_changed", followed=change.followed, pending=change.pending
            )
        if change.followed:
            self._current = change.settings
            self._apply(change.settings)

    def _note_problem(self, detail: str) -> None:
        """Logs why the file is unreadable, once for each reason in a row."""
        if detail != self._problem:
            self._problem = detail
            _log.error("settings_unreadable", detail=detail)
