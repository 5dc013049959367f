"""Builders of incarnations and members for tests."""

from __future__ import annotations

from rosemarydeal.core import Address, Incarnation, Member, Place

__all__ = ["incarnation", "member"]


def incarnation(node: str = "box-office-1", number: int = 1) -> Incarnation:
    """Builds an incarnation."""
    return Incarnation(node, number)


def member(node: str = "box-office-1", zone: str = "perth-a", **changes) -> Member:
    """Builds a member of the service `box-office`."""
    values = {
        "incarnation": Incarnation(node, 1),
        "witnesses": (),
        "service": "box-office",
        "place": Place("wa-perth", zone, node),
        "peer": Address("127.0.0.1", 7000),
        "entry_host": "127.0.0.1",
        "slots": 12,
    }
    return Member(**(values | changes))
