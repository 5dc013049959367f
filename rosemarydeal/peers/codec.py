"""Encodes typed messages for the wire and checks what comes back.

A message travels as a msgpack array of protocol version, sender, kind and
content. The kind is the name of the message's class.
"""

from __future__ import annotations

from typing import get_args

import msgspec

from rosemarydeal.core import messages
from rosemarydeal.core.messages import Message

from .errors import PeerMessageError

__all__ = ["MAX_MESSAGE_BYTES", "PROTOCOL_VERSION", "decode", "encode"]

PROTOCOL_VERSION = 1
MAX_MESSAGE_BYTES = 2 * 1024 * 1024


class _Envelope(msgspec.Struct, array_like=True, frozen=True):
    """Wraps the encoded content of a message."""

    version: int
    sender: str
    kind: str
    content: msgspec.Raw


_DECODERS = {
    kind.__name__: msgspec.msgpack.Decoder(kind) for kind in get_args(messages.Message)
}
_ENVELOPE_DECODER = msgspec.msgpack.Decoder(_Envelope)
_ENCODER = msgspec.msgpack.Encoder()


def encode(sender: str, message: Message) -> bytes:
    """Encodes a message.

    Args:
        sender: Node that sends the message.
        message: The message.

    Returns:
        The bytes for the wire.
    """
    content = msgspec.Raw(_ENCODER.encode(message))
    kind = type(message).__name__
    return _ENCODER.encode(_Envelope(PROTOCOL_VERSION, sender, kind, content))


def decode(data: bytes) -> tuple[str, Message]:
    """Decodes a message and checks its types.

    Args:
        data: Bytes from the wire.

    Returns:
        The sender's node and the message.

    Raises:
        PeerMessageError: The bytes are no message of this protocol version.
    """
    if len(data) > MAX_MESSAGE_BYTES:
        raise PeerMessageError(f"message of {len(data)} bytes", "peer_message_size")
    try:
        envelope = _ENVELOPE_DECODER.decode(data)
        _check_version(envelope)
        return envelope.sender, _DECODERS[envelope.kind].decode(envelope.content)
    except KeyError as error:
        raise PeerMessageError(f"unknown kind {error}", "peer_message_kind") from error
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        raise PeerMessageError(str(error)) from error


def _check_version(envelope: _Envelope) -> None:
    """Refuses a message of another protocol version."""
    if envelope.version != PROTOCOL_VERSION:
        detail = f"protocol version {envelope.version}"
        raise PeerMessageError(detail, "peer_message_version")
