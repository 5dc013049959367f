"""Derives array-like twins of data classes, which encode without field names.

A fleet exchanges small messages all the time; names of fields would be most
of their bytes.
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
    """Returns the array-like twin of a data class.

    Args:
        kind: The data class.

    Returns:
        A type whose fields have the same names and order.
    """
    hints = get_type_hints(kind)
    fields = [
        (field.name, _array_type(hints[field.name]), *_default(field))
        for field in dataclasses.fields(kind)
    ]
    return msgspec.defstruct(kind.__name__, fields, array_like=True, frozen=True)


def _default(field: dataclasses.Field) -> tuple[Any, ...]:
    """Returns the default of a field for the twin, if it has a plain one."""
    value = field.default
    if value is dataclasses.MISSING or dataclasses.is_dataclass(value):
        return ()
    return (value,)


def _array_type(hint: Any) -> Any:
    """Returns a type with twins in the place of data classes."""
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
