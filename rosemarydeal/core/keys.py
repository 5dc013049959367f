"""Mapping of keys to slices and chunks, identical in every process."""

from __future__ import annotations

from collections.abc import Container

import xxhash

from .data import SliceId

__all__ = ["chunk_of", "key_hash", "rendezvous_order", "slice_of"]

SLICES_PER_CHUNK = 64


def key_hash(key: str) -> int:
    """Returns the stable 63-bit hash of a key.

    Args:
        key: The key as the caller sent it.

    Returns:
        A number from 0 to 2**63 - 1.
    """
    return xxhash.xxh3_64_intdigest(key.encode("utf-8", "surrogateescape")) >> 1


def slice_of(
    service: str, key: str, slices: int, carved: Container[SliceId] = ()
) -> SliceId:
    """Returns the slice of a key.

    Args:
        service: Service of the key.
        key: The key.
        slices: Number of base slices of the service.
        carved: Existing carved slices, each for a single key.

    Returns:
        The carved slice of the key if there is one, else its base slice.
    """
    digest = key_hash(key)
    carved_slice = SliceId(service, digest % slices, digest)
    return carved_slice if carved_slice in carved else SliceId(service, digest % slices)


def chunk_of(slice_id: SliceId) -> int:
    """Returns the number of the chunk that holds a slice's row."""
    return slice_id.index // SLICES_PER_CHUNK


def rendezvous_order(subject: str, names: list[str]) -> list[str]:
    """Orders names by their rendezvous hash for a subject.

    Args:
        subject: Name of the object to be placed.
        names: The candidates.

    Returns:
        The candidates, best first. Removing one keeps the order of the others.
    """
    return sorted(names, key=lambda name: (key_hash(f"{subject}\0{name}"), name))
