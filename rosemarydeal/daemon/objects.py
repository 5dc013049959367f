"""Names, encodes and decodes the objects that processes store in the platform."""

from __future__ import annotations

import msgspec

from rosemarydeal.core import CONFIG_KEY, UPSTREAMS_KEY, ZONES_KEY, Chunk, Member

from .errors import DaemonError

__all__ = [
    "MEMBER_PREFIX",
    "SLICE_PREFIX",
    "WATCHED_PREFIXES",
    "chunk_key",
    "decode_chunk",
    "decode_member",
    "encode",
    "member_key",
]

MEMBER_PREFIX = "members/"
SLICE_PREFIX = "slices/"
WATCHED_PREFIXES = (CONFIG_KEY, MEMBER_PREFIX, SLICE_PREFIX, ZONES_KEY, UPSTREAMS_KEY)

_MEMBER = msgspec.json.Decoder(Member)
_CHUNK = msgspec.json.Decoder(Chunk)


def member_key(node: str) -> str:
    """Returns the name of a member's object."""
    return f"{MEMBER_PREFIX}{node}"


def chunk_key(service: str, number: int) -> str:
    """Returns the name of a chunk's object."""
    return f"{SLICE_PREFIX}{service}/{number}"


def encode(content: Member | Chunk) -> bytes:
    """Encodes an object's content."""
    return msgspec.json.encode(content)


def decode_member(value: bytes) -> Member:
    """Decodes a member.

    Raises:
        DaemonError: The content is not a valid member.
    """
    return _decode(_MEMBER, value)


def decode_chunk(value: bytes) -> Chunk:
    """Decodes a chunk.

    Raises:
        DaemonError: The content is not a valid chunk.
    """
    return _decode(_CHUNK, value)


def _decode(decoder: msgspec.json.Decoder, value: bytes):
    """Decodes a value and converts the library's error."""
    try:
        return decoder.decode(value)
    except msgspec.DecodeError as error:
        raise DaemonError(str(error), "object_malformed") from error
