"""Reads the settings file that the platform writes for each process."""

from __future__ import annotations

import os
import tomllib
from collections.abc import Mapping
from pathlib import Path

from rosemarydeal.core import Address
from rosemarydeal.core.fleet import Bounds, GrantCarrier, NodeIdentity

from .errors import SettingsWrong
from .names import SETTINGS_FILE, SETTINGS_VARIABLE

__all__ = ["load_identity", "parse_identity"]

MS_PER_S = 1000.0
# The setting `grants`: whether calls or the answers to heartbeats grant keys.
GRANT_CARRIERS = {"call": GrantCarrier.CALL, "heartbeat": GrantCarrier.HEARTBEAT}
DEFAULT_GRANTS = "call"


def load_identity() -> NodeIdentity:
    """Reads the settings file of this process.

    Raises:
        SettingsWrong: If the file can't be read, or lacks a setting.
    """
    path = Path(os.environ.get(SETTINGS_VARIABLE, SETTINGS_FILE))
    try:
        text = path.read_text("utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise SettingsWrong(f"{path}: {error}", "settings-unreadable") from error
    return parse_identity(text)


def parse_identity(text: str) -> NodeIdentity:
    """Parses the text of a settings file.

    Args:
        text: TOML; unknown fields are ignored.

    Raises:
        SettingsWrong: If the text is not TOML, or a setting is missing or wrong.
    """
    try:
        fields = tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        raise SettingsWrong(str(error), "settings-unreadable") from error
    try:
        return _identity(fields)
    except (KeyError, TypeError, ValueError, IndexError) as error:
        raise SettingsWrong(f"missing or wrong: {error!r}") from error


def _identity(fields: Mapping[str, object]) -> NodeIdentity:
    """Builds the identity from the parsed file."""
    listen = fields["listen"]
    first_port, last_port = fields["internal_ports"]
    host = fields["ip"]
    if last_port <= first_port:
        raise ValueError("internal_ports has fewer than two ports")
    return NodeIdentity(
        node=_text(fields["node_name"]),
        zone=_text(fields["zone"]),
        zones=tuple(fields["zones"]),
        service=_text(fields["service"]),
        upstream=_address(fields["app_addr"]),
        callers=_address(listen["outbound"]),
        readiness=_address(listen["ready"]),
        announcements=_address(listen["control"]),
        peer=Address(host, int(first_port)),
        metrics=Address(host, int(first_port) + 1),
        store=_address(fields["provider"]["addr"]),
        announce_period_s=float(fields["heartbeat_ms"]) / MS_PER_S,
        bounds=_bounds(fields["bounds"]),
        grant_carrier=GRANT_CARRIERS[fields.get("grants", DEFAULT_GRANTS)],
    )


def _bounds(entries: list[str]) -> Bounds:
    """Parses a list of `name=value` entries; missing bounds keep their defaults."""
    values = dict(text.split("=", 1) for text in entries)
    defaults = Bounds()

    def number(name: str, default: float, unit: float = 1.0) -> float:
        return float(values[name]) / unit if name in values else default

    return Bounds(
        drain_s=number("drain_ms", defaults.drain_s, MS_PER_S),
        grace_s=number("grace_s", defaults.grace_s),
        retry_ratio=number("retry_budget_ratio", defaults.retry_ratio),
        retry_slack=number("retry_budget_slack", defaults.retry_slack),
        retry_window_s=number("budget_window_s", defaults.retry_window_s),
        cold_burst_factor=number("cold_burst_factor", defaults.cold_burst_factor),
        cold_slack=number("cold_slack", defaults.cold_slack),
        max_hold_s=number("max_hold_ms", defaults.max_hold_s, MS_PER_S),
    )


def _address(text: str) -> Address:
    """Parses `host:port`."""
    host, _, port = text.rpartition(":")
    return Address(host, int(port))


def _text(value: object) -> str:
    """Returns a value that must be a non-empty string."""
    if not isinstance(value, str) or not value:
        raise ValueError(f"{value!r} is not a non-empty string")
    return value
