"""Service, slices and keys of the ownership simulation."""

from __future__ import annotations

__all__ = ["KEYS", "SERVICE", "SLICES"]

SERVICE = "box-office"
SLICES = 2
KEYS = (10, 11, 12)
"""Hashes of the monitored keys; the first may be carved out of slice 0."""
