"""Names the service, slices and keys of the ownership world."""

from __future__ import annotations

__all__ = ["KEYS", "SERVICE", "SLICES"]

SERVICE = "box-office"
SLICES = 2
KEYS = (10, 11, 12)
"""Digests of the keys watched; the first may be carved out of slice 0."""
