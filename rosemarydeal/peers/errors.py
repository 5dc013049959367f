"""Defines the errors of the messaging between processes."""

from __future__ import annotations

from rosemarydeal.core import CodedError

__all__ = ["PeerError", "PeerMessageError"]


class PeerError(CodedError):
    """The peer link cannot be set up or used."""

    code = "peer_link"


class PeerMessageError(PeerError):
    """A message from a peer is malformed, oversized or of an unknown kind."""

    code = "peer_message"
