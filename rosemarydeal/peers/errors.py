"""Defines the errors of the layer between the system's own processes."""

from __future__ import annotations

from rosemarydeal.core import CodedError

__all__ = ["PeerError", "PeerMessageError"]


class PeerError(CodedError):
    """Says that the link to other processes can't be set up or used."""

    code = "peer_link"


class PeerMessageError(PeerError):
    """Says that a message from a peer is malformed, oversized or unknown."""

    code = "peer_message"
