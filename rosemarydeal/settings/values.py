"""Types of the single values in settings files.

Bounds and patterns are part of the types, so that the checks of settings files
and the schema for editors share them.
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
    """A string that must be an IP address; host names are not resolved."""

    __slots__ = ()


@dataclass(frozen=True, slots=True)
class Leaf:
    """One inherited setting as written in one branch.

    Attributes:
        group: Name of the group, such as `limits`.
        name: Name of the setting within its group, such as `slots`.
        value: Validated value.
        location: File and line.
    """

    group: str
    name: str
    value: int | float | bool | str
    location: SourceLocation


@dataclass(frozen=True, slots=True)
class SettingsBranch:
    """Inherited settings that one branch of the tree sets."""

    leaves: tuple[Leaf, ...] = ()


def parse_ip(text: str) -> str | None:
    """Returns the canonical form of an IP address, or None if it is invalid."""
    try:
        return str(ipaddress.ip_address(text))
    except ValueError:
        return None


def parse_address(text: str) -> Address | None:
    """Parses `IP:port`; an IPv6 address is enclosed in square brackets.

    Args:
        text: Text to parse.

    Returns:
        The address, or None if the text is invalid.
    """
    host, colon, port = text.rpartition(":")
    bracketed = host.startswith("[") and host.endswith("]")
    ip = parse_ip(host[1:-1] if bracketed else host)
    if not colon or ip is None or bracketed != (":" in ip):
        return None
    if not (port.isascii() and port.isdigit() and len(port) <= len("65535")):
        return None
    return Address(ip, int(port)) if 1 <= int(port) <= MAX_PORT else None
