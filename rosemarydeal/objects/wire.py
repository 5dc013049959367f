"""Defines the bodies of the object API, as docs/PROTOCOL.md describes them.

A watch is `GET /changes?prefix=A&prefix=B&after=REVISION&wait_s=SECONDS`: one
call covers all the prefixes that it names, and counts once. Its answer holds
the newest content of each object under them that changed after the revision.
"""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["ChangesBody", "ObjectBody"]


@dataclass(frozen=True, slots=True)
class ObjectBody:
    """Is one object in a listing; the value travels in base64."""

    key: str
    version: int
    value: bytes


@dataclass(frozen=True, slots=True)
class ChangesBody:
    """Is the answer to a listing or a watch."""

    revision: int
    objects: tuple[ObjectBody, ...]
