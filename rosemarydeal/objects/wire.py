"""Defines the bodies and headers of the object API, as described in docs/PROTOCOL.md.

A watch is `GET /changes?prefix=A&prefix=B&after=REVISION&wait_s=SECONDS`. One
call covers all of its prefixes and counts once. The response holds the latest
version of each object under them that changed after the revision.
"""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["CALL_ID", "ChangesBody", "ObjectBody"]

CALL_ID = b"call-id"
"""Header with the id of a call, which its response returns."""


@dataclass(frozen=True, slots=True)
class ObjectBody:
    """An object in a listing; the value is encoded in base64."""

    key: str
    version: int
    value: bytes


@dataclass(frozen=True, slots=True)
class ChangesBody:
    """The response to a listing or a watch."""

    revision: int
    objects: tuple[ObjectBody, ...]
