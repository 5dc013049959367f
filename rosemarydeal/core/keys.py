"""Maps keys to slices and chunks, the same way in every process."""

from __future__ import annotations

from collections.abc import Container

import xxhash

from .data import SliceId

__all__ = ["chunk_of", "key_hash", "rendezvous_order", "slice_of"]

SLICES_PER_CHUNK = 64


def key_hash(key: str) -> int:
    """Returns the stable 63-bit hash of a key.

    Args:
        key: The key as the caller wrote it.

    Returns:
        A number from 0 to 2**63 - 1.
    """
    return xxhash.xxh3_64_intdigest(key.encode("utf-8", "surrogateescape")) >> 1


def slice_of(
    service: str, key: str, slices: int, carved: Container[SliceId] = ()
) -> SliceId:
    """Returns the slice that a key belongs to.

    Args:
        service: Service that the key belongs to.
        key: The key.
        slices: Number of base slices of the service.
        carved: Slices carved out for single keys.

    Returns:
        The carved slice of the key where there is one, else its base slice.
    """
    digest = key_hash(key)
    own = SliceId(service, digest % slices, digest)
    return own if own in carved else SliceId(service, digest % slices)


def chunk_of(slice_id: SliceId) -> int:
    """Returns the number of the chunk that holds a slice's row."""
    return slice_id.index // SLICES_PER_CHUNK


def rendezvous_order(subject: str, names: list[str]) -> list[str]:
    """Orders names by their hash with a subject, the same way everywhere.

    Args:
        subject: What is to be placed.
        names: The candidates.

    Returns:
        The candidates, best first; removing one keeps the others' order.
    """
    return sorted(names, key=lambda name: (key_hash(f"{subject}\0{name}"), name))
