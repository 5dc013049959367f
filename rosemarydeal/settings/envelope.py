"""Envelope in which a deployment file is stored in the platform.

It records who applied the file and when. The text of the file is stored
unchanged, so that every process can report which line of which file sets a value.
"""

from __future__ import annotations

from dataclasses import dataclass

import msgspec

from .deployment import DeploymentSettings
from .load import load_deployment
from .problems import Problem

__all__ = [
    "ConfigEnvelope",
    "HistoryEntry",
    "decode_envelope",
    "encode_envelope",
    "load_envelope",
]


@dataclass(frozen=True, slots=True)
class ConfigEnvelope:
    """Content of the stored configuration object.

    Attributes:
        file: Name of the file that was applied.
        text: Text of the file.
        change_id: Unique id of the change.
        operator: Operator who applied the file.
        applied_at: Time of the change, in ISO 8601 with UTC.
        comment: Comment of the operator on the change.
    """

    file: str
    text: str
    change_id: str
    operator: str = ""
    applied_at: str = ""
    comment: str = ""


@dataclass(frozen=True, slots=True)
class HistoryEntry:
    """Content of one object of the configuration history."""

    version: int
    envelope: ConfigEnvelope


def encode_envelope(envelope: ConfigEnvelope) -> bytes:
    """Encodes an envelope as JSON."""
    return msgspec.json.encode(envelope)


def decode_envelope(value: bytes) -> ConfigEnvelope | None:
    """Decodes an envelope.

    Args:
        value: Content of the configuration object.

    Returns:
        The envelope, or None if the content cannot be decoded.
    """
    try:
        return msgspec.json.decode(value, type=ConfigEnvelope)
    except msgspec.DecodeError:
        return None


def load_envelope(
    envelope: ConfigEnvelope,
) -> tuple[DeploymentSettings | None, tuple[Problem, ...]]:
    """Loads and checks the file in an envelope."""
    return load_deployment(envelope.text, envelope.file)
