"""Immutable types, errors and key hashing shared by all packages."""

from .data import *  # noqa: F403
from .data import __all__ as _data_names
from .errors import CodedError, SourceLocation
from .keys import chunk_of, key_hash, rendezvous_order, slice_of

__all__ = [
    *_data_names,
    "CodedError",
    "SourceLocation",
    "chunk_of",
    "key_hash",
    "rendezvous_order",
    "slice_of",
]
