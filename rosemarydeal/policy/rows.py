"""Builds the rows and chunks that proposers write, with their retiring names.

A name enters the retiring list whenever a row changes and leaves it by its own
clearance only; these functions are the one place where that rule is kept.
"""

from __future__ import annotations

from collections.abc import Container, Iterable
from dataclasses import replace

from rosemarydeal.core import Chunk, CodedError, Incarnation, Row, SliceId, WitnessSet

__all__ = [
    "RowError",
    "carve_row",
    "cleaned_row",
    "merge_row",
    "next_row",
    "rebuild_chunk",
]


class RowError(CodedError):
    """Says that a proposed change of a row would be unsafe."""

    code = "row_change_unsafe"


def next_row(
    row: Row,
    succession: tuple[Incarnation, ...],
    expired: Container[Incarnation] = (),
    acked: Container[Incarnation] = (),
) -> Row:
    """Returns the row's next version with another succession.

    Args:
        row: The row as the platform holds it.
        succession: The new owner and its successors.
        expired: Incarnations proved lapsed.
        acked: Retiring names that acknowledged the present version.

    Returns:
        The next version; all who may still act on older ones are retiring.
    """
    in_succession = set(row.succession)
    unacked = [
        incarnation
        for incarnation in row.retiring
        if incarnation not in acked or incarnation in in_succession
    ]
    incarnations = dict.fromkeys((*row.succession, *unacked))
    owner = succession[0] if succession else None
    retiring = (
        incarnation
        for incarnation in incarnations
        if incarnation != owner and incarnation not in expired
    )
    return Row(row.slice, row.version + 1, succession, tuple(sorted(retiring)))


def cleaned_row(row: Row, released: Container[Incarnation]) -> Row:
    """Returns the same version of a row without retiring names that are out.

    Args:
        row: The row as the platform holds it.
        released: Names that acknowledged this version or are proved lapsed.
    """
    return replace(
        row,
        retiring=tuple(
            incarnation for incarnation in row.retiring if incarnation not in released
        ),
    )


def carve_row(base: Row, digest: int) -> Row:
    """Returns the first row of a key that gets a slice of its own.

    The succession stays; a later `next_row` moves the key. Every name of the
    base slice is retiring, so that it stops serving the key under that slice.

    Args:
        base: The row of the base slice.
        digest: Hash of the key.
    """
    slice_id = SliceId(base.slice.service, base.slice.index, digest)
    incarnations = dict.fromkeys((*base.succession, *base.retiring))
    retiring = tuple(
        sorted(incarnation for incarnation in incarnations if incarnation != base.owner)
    )
    return Row(slice_id, base.version + 1, base.succession, retiring)


def merge_row(base: Row, carved: Row) -> Row:
    """Returns the base slice's next row after a carved slice is dropped.

    Args:
        base: The row of the base slice.
        carved: The row of the carved slice, which the same write drops.

    Raises:
        RowError: The two owners differ, or the carved slice's owner has not
            yet cleared all retiring names; the base slice's owner, which goes
            on serving, could otherwise meet the key's former owner.
    """
    if carved.owner != base.owner or carved.retiring:
        raise RowError("a carved slice must first be moved to its base's owner")
    version = max(base.version, carved.version) + 1
    incarnations = dict.fromkeys((*base.succession, *base.retiring, *carved.succession))
    retiring = tuple(
        sorted(incarnation for incarnation in incarnations if incarnation != base.owner)
    )
    return Row(base.slice, version, base.succession, retiring)


def rebuild_chunk(
    chunk: Chunk,
    rows: Iterable[Row],
    new_witness_sets: Iterable[WitnessSet],
    change_id: str,
    dropped: Container[SliceId] = (),
) -> Chunk:
    """Returns a chunk with some rows replaced, added or dropped.

    Args:
        chunk: The chunk as the platform holds it.
        rows: Changed and new rows.
        new_witness_sets: Witnesses of the incarnations that new rows name.
        change_id: Unique id of the write.
        dropped: Carved slices that were merged back.

    Returns:
        The new content, with the witnesses of exactly the names in its rows.
    """
    merged = {row.slice: row for row in chunk.rows if row.slice not in dropped}
    merged.update((row.slice, row) for row in rows)
    witness_sets = {
        witness_set.incarnation: witness_set
        for witness_set in (*chunk.holders, *new_witness_sets)
    }
    in_succession = sorted(
        {
            incarnation
            for row in merged.values()
            for incarnation in (*row.succession, *row.retiring)
        }
    )
    return replace(
        chunk,
        rows=tuple(merged[slice_id] for slice_id in sorted(merged)),
        holders=tuple(
            witness_sets[incarnation]
            for incarnation in in_succession
            if incarnation in witness_sets
        ),
        change_id=change_id,
    )
