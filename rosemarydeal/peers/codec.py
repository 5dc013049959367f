"""Encodes peer messages for the wire, and decodes and validates them.

A message travels as a msgpack array of protocol version, sender, kind and
content. The kind is the index of the message's class in the union `Message`,
the content is the array of its fields. A change to either requires a new
protocol version.
"""

from __future__ import annotations

from typing import get_args

import msgspec

from rosemarydeal.core import messages
from rosemarydeal.core.messages import Message

from .compact import array_struct_of
from .errors import PeerMessageError

__all__ = ["MAX_MESSAGE_BYTES", "PROTOCOL_VERSION", "decode", "encode"]

PROTOCOL_VERSION = 2
MAX_MESSAGE_BYTES = 2 * 1024 * 1024


class _Envelope(msgspec.Struct, array_like=True, frozen=True):
    """The wire format of a message, with its content still encoded."""

    version: int
    sender: str
    kind: int
    content: msgspec.Raw


_KINDS = tuple(get_args(messages.Message))
_KIND_NUMBERS = {kind: number for number, kind in enumerate(_KINDS)}
_ARRAY_TYPES = tuple(array_struct_of(kind) for kind in _KINDS)
_DECODERS = tuple(msgspec.msgpack.Decoder(array_type) for array_type in _ARRAY_TYPES)
_ENVELOPE_DECODER = msgspec.msgpack.Decoder(_Envelope)
_ENCODER = msgspec.msgpack.Encoder()


def encode(sender: str, message: Message) -> bytes:
    """Encodes a message.

    Args:
        sender: Name of the sending node.
        message: The message.

    Returns:
        The encoded message.
    """
    number = _KIND_NUMBERS[type(message)]
    array = msgspec.convert(message, _ARRAY_TYPES[number], from_attributes=True)
    content = msgspec.Raw(_ENCODER.encode(array))
    return _ENCODER.encode(_Envelope(PROTOCOL_VERSION, sender, number, content))


def decode(data: bytes) -> tuple[str, Message]:
    """Decodes a message and validates the types of its fields.

    Args:
        data: The encoded message.

    Returns:
        The name of the sending node and the message.

    Raises:
        PeerMessageError: The data is not a valid message of this protocol version.
    """
    if len(data) > MAX_MESSAGE_BYTES:
        raise PeerMessageError(
            f"oversized message of {len(data)} bytes", "peer_message_size"
        )
    try:
        envelope = _ENVELOPE_DECODER.decode(data)
        _check_version(envelope)
        return envelope.sender, _decode_content(envelope)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        raise PeerMessageError(str(error)) from error


def _decode_content(envelope: _Envelope) -> Message:
    """Decodes the content of an envelope."""
    if not 0 <= envelope.kind < len(_KINDS):
        raise PeerMessageError(f"unknown kind {envelope.kind}", "peer_message_kind")
    array = _DECODERS[envelope.kind].decode(envelope.content)
    return msgspec.convert(array, _KINDS[envelope.kind], from_attributes=True)


def _check_version(envelope: _Envelope) -> None:
    """Raises an error if the message has another protocol version."""
    if envelope.version != PROTOCOL_VERSION:
        detail = f"unsupported protocol version {envelope.version}"
        raise PeerMessageError(detail, "peer_message_version")
