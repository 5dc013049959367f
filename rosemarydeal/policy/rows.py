"""Construction of the rows and chunks that proposers write.

An incarnation becomes retiring when a row changes and stays so until it has
acknowledged the revocation or its lease has expired. Only these functions implement
that rule.
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
    """A proposed change of a row would be unsafe."""

    code = "row_change_unsafe"


def next_row(
    row: Row,
    succession: tuple[Incarnation, ...],
    expired: Container[Incarnation] = (),
    acked: Container[Incarnation] = (),
) -> Row:
    """Returns the row's next version with another succession.

    Args:
        row: The row as stored on the platform.
        succession: The new owner and its successors.
        expired: Incarnations whose lease has provably expired.
        acked: Retiring incarnations that acknowledged the current version.

    Returns:
        The next version; incarnations that may still own the slice under an older
        version are retiring.
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
    """Returns the same version of a row with fewer retiring incarnations.

    Args:
        row: The row as stored on the platform.
        released: Incarnations that acknowledged this version or whose lease has
            provably expired.
    """
    return replace(
        row,
        retiring=tuple(
            incarnation for incarnation in row.retiring if incarnation not in released
        ),
    )


def carve_row(base: Row, digest: int) -> Row:
    """Returns the first row of a slice carved out for a single key.

    The succession stays the same; a later `next_row` moves the key. All
    incarnations of the base row except the owner are retiring, so that they must
    stop serving the key under the base slice.

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
    """Returns the base slice's next row when a carved slice is merged back.

    Args:
        base: The row of the base slice.
        carved: The row of the carved slice, which the same write removes.

    Raises:
        RowError: The two owners differ, or the carved slice still has retiring
            incarnations. The base slice's owner keeps serving, so the key could
            otherwise have two owners.
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
        chunk: The chunk as stored on the platform.
        rows: Changed and new rows.
        new_witness_sets: Witnesses of the incarnations in new rows.
        change_id: Unique id of the write.
        dropped: Carved slices that were merged back.

    Returns:
        The new content, with the witnesses of exactly the incarnations in its rows.
    """
    merged = {row.slice: row for row in chunk.rows if row.slice not in dropped}
    merged.update((row.slice, row) for row in rows)
    witness_sets = {
        witness_set.incarnation: witness_set
        for witness_set in (*chunk.holders, *new_witness_sets)
    }
    referenced = sorted(
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
            for incarnation in referenced
            if incarnation in witness_sets
        ),
        change_id=change_id,
    )
