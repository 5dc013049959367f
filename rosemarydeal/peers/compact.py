"""Derives array-like msgspec structs from data classes.

Arrays omit the field names, which would take up most of the bytes of the small
messages that a fleet exchanges all the time.
"""

from __future__ import annotations

import dataclasses
import types
from functools import cache, reduce
from typing import Any, get_args, get_origin, get_type_hints

import msgspec

__all__ = ["array_struct_of"]


@cache
def array_struct_of(kind: type) -> type:
    """Returns an array-like struct type for a data class.

    Args:
        kind: The data class.

    Returns:
        A struct type with the same field names in the same order.
    """
    hints = get_type_hints(kind)
    fields = [
        (field.name, _array_type(hints[field.name]), *_default(field))
        for field in dataclasses.fields(kind)
    ]
    return msgspec.defstruct(kind.__name__, fields, array_like=True, frozen=True)


def _default(field: dataclasses.Field) -> tuple[Any, ...]:
    """Returns the default of a field as a tuple, empty if the struct gets none."""
    value = field.default
    if value is dataclasses.MISSING or dataclasses.is_dataclass(value):
        return ()
    return (value,)


def _array_type(hint: Any) -> Any:
    """Returns a type hint with its data classes replaced by array-like structs."""
    if dataclasses.is_dataclass(hint):
        return array_struct_of(hint)
    if get_origin(hint) in (types.UnionType,):
        return reduce(
            lambda left, right: left | right, map(_array_type, get_args(hint))
        )
    if get_origin(hint) is tuple:
        items = tuple(
            item if item is ... else _array_type(item) for item in get_args(hint)
        )
        return tuple[items]
    return hint
