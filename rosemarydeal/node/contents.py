"""Decodes the contents of the store's objects.

An object that can't be read, or that another writer put there, names nothing
and harms nothing; a log line says so.
"""

from __future__ import annotations

from collections.abc import Iterable

import msgspec
import structlog

from rosemarydeal.core import Address
from rosemarydeal.core.fleet import Configuration, Member, RangeTable, Stored
from rosemarydeal.platform.errors import Unreadable
from rosemarydeal.platform.operator import decode_configuration

__all__ = ["configuration_of", "members_of", "names_of", "table_name", "tables_of"]

_log = structlog.get_logger()


def configuration_of(stored: Stored | None) -> Configuration | None:
    """Returns the configuration that an object holds, None if it holds none."""
    if stored is None or stored.content is None:
        return None
    try:
        return decode_configuration(stored.content)
    except Unreadable as error:
        _log.warning("configuration_unreadable", detail=error.detail)
        return None


def names_of(objects: Iterable[Stored]) -> frozenset[str]:
    """Returns the names of the objects that are not deleted."""
    return frozenset(stored.name for stored in objects if stored.content is not None)


def members_of(objects: Iterable[Stored]) -> dict[str, Member]:
    """Returns the members by node; the newest one at each address.

    Whoever had the address before has ended, and its upstream too.
    """
    members: dict[str, Member] = {}
    at_address: dict[Address, str] = {}
    for stored in sorted(objects, key=lambda stored: stored.revision):
        found = _decode(stored, Member)
        if found is None or found.node != stored.name:
            continue
        members.pop(at_address.get(found.peer, ""), None)
        at_address[found.peer] = found.node
        members[found.node] = found
    return members


def tables_of(objects: Iterable[Stored]) -> dict[str, RangeTable]:
    """Returns the tables by service."""
    tables: dict[str, RangeTable] = {}
    for stored in objects:
        found = _decode(stored, RangeTable)
        if found is not None and table_name(found.service) == stored.name:
            tables[found.service] = found
    return tables


def table_name(service: str) -> str:
    """Returns the name of the object that holds a service's table."""
    return service


def _decode(stored: Stored, form: type) -> object | None:
    """Decodes an object's content; one that can't be read names nothing."""
    if stored.content is None:
        return None
    try:
        return msgspec.json.decode(stored.content, type=form)
    except msgspec.MsgspecError as error:
        _log.warning("object_unreadable", name=stored.name, detail=str(error))
        return None
