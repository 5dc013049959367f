"""Loads node files: settings that a process needs before it contacts others.

All settings that the deployment shares come from the platform instead.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Literal

from rosemarydeal.core import Address, Place

from .convert import FAILED, convert
from .problems import Problem
from .syntax import parse
from .values import CurveKey, IpAddress, Name, Token

__all__ = ["NodeSettings", "Seed", "load_node"]


@dataclass(frozen=True, slots=True)
class Seed:
    """A peer that a starting process contacts first.

    Attributes:
        peer: Address of the peer for messages between processes.
        public_key: CURVE public key of the peer, in Z85.
    """

    peer: Address
    public_key: CurveKey


@dataclass(frozen=True, slots=True)
class NodeSettings:
    """Settings of one process.

    Attributes:
        node: Stable name of the process and of the upstream beside it.
        region: Region that the VM is in.
        availability_zone: Availability zone that the VM is in.
        service: Service that the upstream serves.
        upstream: Address at which the upstream accepts requests.
        entry_host: IP address at which callers reach the process.
        peer: Address for messages between processes.
        admin: Address for operators and metrics.
        platform: Address of the platform's object API.
        public_key: CURVE public key of the process, in Z85.
        secret_key: CURVE secret key of the process, in Z85.
        peer_keys: CURVE public keys of the peers that may connect.
        seeds: Peers to contact while the platform is unreachable.
        token: Token that operators must present; not required if missing.
        log_level: Lowest severity of the log lines that are written.
    """

    node: Name
    region: Name
    availability_zone: Name
    service: Name
    upstream: Address
    entry_host: IpAddress
    peer: Address
    admin: Address
    platform: Address
    public_key: CurveKey
    secret_key: CurveKey
    peer_keys: tuple[CurveKey, ...]
    seeds: tuple[Seed, ...] = ()
    token: Token | None = None
    log_level: Literal["debug", "info", "warning", "error"] = "info"

    @property
    def place(self) -> Place:
        """Returns the place of the process and its upstream."""
        return Place(self.region, self.availability_zone, self.node)


def load_node(text: str, file: str) -> tuple[NodeSettings | None, tuple[Problem, ...]]:
    """Loads and checks a node file.

    Args:
        text: Content of the file.
        file: Name of the file, used in positions.

    Returns:
        The settings and no problems, or None and all problems.
    """
    root, problems = parse(text, file)
    if root is None:
        return None, problems
    settings, problems = convert(NodeSettings, root)
    if settings is FAILED or problems:
        return None, problems
    return settings, ()
