"""Authenticated messaging between the processes of a fleet."""

from .codec import MAX_MESSAGE_BYTES, PROTOCOL_VERSION, decode, encode
from .errors import PeerError, PeerMessageError
from .link import PeerCounters, PeerLink, PeerLinkSettings, ReceivedMessage

__all__ = [
    "MAX_MESSAGE_BYTES",
    "PROTOCOL_VERSION",
    "PeerCounters",
    "PeerError",
    "PeerLink",
    "PeerLinkSettings",
    "PeerMessageError",
    "ReceivedMessage",
    "decode",
    "encode",
]
