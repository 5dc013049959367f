"""Wraps a deployment file for the platform, with who applied it and when.

The file's text is kept as it was written, so that every process can say
which line of which file gave a value.
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
    """Is the content of the configuration's object.

    Attributes:
        file: Name of the file that was applied.
        text: The file's text.
        change_id: Unique id of the change.
        operator: Who applied it.
        applied_at: When, in ISO 8601 with UTC.
        comment: What the operator says of the change.
    """

    file: str
    text: str
    change_id: str
    operator: str = ""
    applied_at: str = ""
    comment: str = ""


@dataclass(frozen=True, slots=True)
class HistoryEntry:
    """Is the content of one object of the configuration's history."""

    version: int
    envelope: ConfigEnvelope


def encode_envelope(envelope: ConfigEnvelope) -> bytes:
    """Encodes an envelope as JSON."""
    return msgspec.json.encode(envelope)


def decode_envelope(value: bytes) -> ConfigEnvelope | None:
    """Decodes an envelope.

    Args:
        value: Content of the configuration's object.

    Returns:
        The envelope, or None where the content is none.
    """
    try:
        return msgspec.json.decode(value, type=ConfigEnvelope)
    except msgspec.DecodeError:
        return None


def load_envelope(
    envelope: ConfigEnvelope,
) -> tuple[DeploymentSettings | None, tuple[Problem, ...]]:
    """Reads and checks the file in an envelope."""
    return load_deployment(envelope.text, envelope.file)
