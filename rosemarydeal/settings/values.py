"""Defines the types of single values that settings files contain.

Bounds and patterns stand in the types, where the checks of settings files
and the schema for editors both find them.
"""

from __future__ import annotations

import ipaddress
from dataclasses import dataclass
from typing import Annotated

from msgspec import Meta

from rosemarydeal.core import Address, SourceLocation

from .problems import ProblemCode

__all__ = [
    "CurveKey",
    "HeaderName",
    "IpAddress",
    "Leaf",
    "Name",
    "PathText",
    "Port",
    "SettingsBranch",
    "Token",
    "parse_address",
    "parse_ip",
]

MAX_PORT = 65_535

Name = Annotated[str, Meta(pattern=r"^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$")]
HeaderName = Annotated[str, Meta(pattern=r"^[A-Za-z0-9!#$%&'*+.^_`|~-]+$")]
PathText = Annotated[str, Meta(pattern=r"^/[^?#\s]*$")]
CurveKey = Annotated[
    str,
    Meta(
        pattern=r"^[0-9a-zA-Z.:+=^!/*?&<>()\[\]{}@%$#-]{40}$",
        extra={"code": ProblemCode.BAD_KEY, "secret": True},
    ),
]
Token = Annotated[
    str,
    Meta(
        pattern=r"^[!-~]{16,256}$",
        extra={"code": ProblemCode.BAD_KEY, "secret": True},
    ),
]
Port = Annotated[int, Meta(ge=1, le=MAX_PORT)]


class IpAddress(str):
    """Marks a text that must be an IP number; host names are not resolved."""

    __slots__ = ()


@dataclass(frozen=True, slots=True)
class Leaf:
    """Holds one inherited setting as written in one branch.

    Attributes:
        group: Name of the group, such as `limits`.
        name: Name of the setting within its group, such as `slots`.
        value: The value, already checked.
        location: File and line.
    """

    group: str
    name: str
    value: int | float | bool | str
    location: SourceLocation


@dataclass(frozen=True, slots=True)
class SettingsBranch:
    """Holds the inherited settings that one branch of the tree gives."""

    leaves: tuple[Leaf, ...] = ()


def parse_ip(text: str) -> str | None:
    """Returns the usual form of an IP number, or None if it is none."""
    try:
        return str(ipaddress.ip_address(text))
    except ValueError:
        return None


def parse_address(text: str) -> Address | None:
    """Parses `IP:port`; an IPv6 number stands in square brackets.

    Args:
        text: The text.

    Returns:
        The address, or None if the text is none.
    """
    host, colon, port = text.rpartition(":")
    bracketed = host.startswith("[") and host.endswith("]")
    ip = parse_ip(host[1:-1] if bracketed else host)
    if not colon or ip is None or bracketed != (":" in ip):
        return None
    if not (port.isascii() and port.isdigit() and len(port) <= len("65535")):
        return None
    return Address(ip, int(port)) if 1 <= int(port) <= MAX_PORT else None
