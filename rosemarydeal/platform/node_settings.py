"""Reads the settings file that the platform writes for each process."""

from __future__ import annotations

import math
import os
import tomllib
from collections.abc import Mapping
from pathlib import Path

from rosemarydeal.core import Address
from rosemarydeal.core.decoding import LAST_PORT, Malformed, decode_identifier
from rosemarydeal.core.fleet import (
    DEFAULT_MEMORY_BYTES,
    Bounds,
    GrantCarrier,
    NodeIdentity,
)

from .errors import SettingsWrong
from .names import SETTINGS_FILE, SETTINGS_VARIABLE

__all__ = ["load_identity", "parse_identity", "read_settings"]

MS_PER_S = 1000.0
BYTES_PER_MB = 1000 * 1000
# The setting `grants`: whether calls or the answers to heartbeats grant keys.
GRANT_CARRIERS = {"call": GrantCarrier.CALL, "heartbeat": GrantCarrier.HEARTBEAT}
DEFAULT_GRANTS = "call"


def load_identity() -> NodeIdentity:
    """Reads and parses the settings file of this process.

    Raises:
        SettingsWrong: If the file can't be read, or lacks a setting.
    """
    return parse_identity(read_settings())


def read_settings() -> str:
    """Returns the text of this process's settings file.

    Raises:
        SettingsWrong: If the file can't be read.
    """
    path = Path(os.environ.get(SETTINGS_VARIABLE, SETTINGS_FILE))
    try:
        return path.read_text("utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise SettingsWrong(f"{path}: {error}", "settings-unreadable") from error


def parse_identity(text: str) -> NodeIdentity:
    """Parses the text of a settings file.

    Args:
        text: TOML; unknown fields are ignored.

    Raises:
        SettingsWrong: If the text is not TOML, or a setting is missing or wrong.
    """
    try:
        fields = tomllib.loads(text)
    except (tomllib.TOMLDecodeError, RecursionError) as error:
        raise SettingsWrong(str(error), "settings-unreadable") from error
    try:
        return _identity(fields)
    except (LookupError, TypeError, ValueError, OverflowError, Malformed) as error:
        raise SettingsWrong(f"missing or wrong: {error!r}") from error


def _identity(fields: Mapping[str, object]) -> NodeIdentity:
    """Builds the identity from the parsed file."""
    listen = fields["listen"]
    first_port, last_port = map(_port, fields["internal_ports"])
    host = _text(fields["ip"])
    if last_port <= first_port:
        raise ValueError("internal_ports has fewer than two ports")
    heartbeat_ms = _number(fields["heartbeat_ms"])
    if heartbeat_ms <= 0.0:
        raise ValueError("heartbeat_ms is not positive")
    return NodeIdentity(
        node=_text(fields["node_name"]),
        zone=_identifier(fields["zone"]),
        zones=tuple(fields["zones"]),
        service=_identifier(fields["service"]),
        upstream=_address(fields["app_addr"]),
        callers=_address(listen["outbound"]),
        readiness=_address(listen["ready"]),
        announcements=_address(listen["control"]),
        peer=Address(host, first_port),
        metrics=Address(host, first_port + 1),
        store=_address(fields["provider"]["addr"]),
        announce_period_s=heartbeat_ms / MS_PER_S,
        bounds=_bounds(fields["bounds"]),
        memory_bytes=_memory_bytes(fields.get("limits", {})),
        grant_carrier=GRANT_CARRIERS[fields.get("grants", DEFAULT_GRANTS)],
        first_start=_flag(fields.get("bootstrap", False)),
    )


def _bounds(entries: list[str]) -> Bounds:
    """Parses a list of `name=value` entries; missing bounds keep their defaults."""
    values = dict(_text(entry).split("=", 1) for entry in entries)
    defaults = Bounds()

    def number(name: str, default: float, unit: float = 1.0) -> float:
        return _number(values[name]) / unit if name in values else default

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


def _memory_bytes(limits: Mapping[str, object]) -> int:
    """Returns the limit of the process's memory, or that of the smallest VM."""
    if "memory_mb" not in limits:
        return DEFAULT_MEMORY_BYTES
    return int(_number(limits["memory_mb"]) * BYTES_PER_MB)


def _address(text: object) -> Address:
    """Parses `host:port`."""
    host, _, port = _text(text).rpartition(":")
    return Address(_text(host), _port(port))


def _port(value: object) -> int:
    """Returns a port, written as a number or as text."""
    port = int(value)
    if not 1 <= port <= LAST_PORT:
        raise ValueError(f"{port} is no port")
    return port


def _number(value: object) -> float:
    """Returns a duration, rate or count."""
    number = float(value)
    if not 0.0 <= number < math.inf:
        raise ValueError(f"{value!r} is negative or not finite")
    return number


def _flag(value: object) -> bool:
    """Returns a setting that is true or false."""
    if not isinstance(value, bool):
        raise ValueError(f"{value!r} is neither true nor false")
    return value


def _identifier(value: object) -> str:
    """Returns a name that members, tables and headers carry."""
    return decode_identifier(_text(value).encode())


def _text(value: object) -> str:
    """Returns a value that must be a non-empty string."""
    if not isinstance(value, str) or not value:
        raise ValueError(f"{value!r} is not a non-empty string")
    return value
