"""Immutable types, errors and key hashing that all packages share."""

from .data import *  # noqa: F403
from .data import __all__ as _data_names
from .errors import CodedError, SourceLocation
from .keys import chunk_of, key_hash, rendezvous_order, slice_of
from .operator import *  # noqa: F403
from .operator import __all__ as _operator_names
from .status import Alarm, KnownVersion, NodeStatus, SliceStatus

__all__ = [
    *_data_names,
    *_operator_names,
    "Alarm",
    "CodedError",
    "KnownVersion",
    "NodeStatus",
    "SliceStatus",
    "SourceLocation",
    "chunk_of",
    "key_hash",
    "rendezvous_order",
    "slice_of",
]
