"""Compares the settings of two deployments by value, not by text."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, fields

from .deployment import DeploymentSettings

__all__ = ["SettingChange", "compare_settings"]


@dataclass(frozen=True, slots=True)
class SettingChange:
    """A difference in one setting; an empty text means that the setting is absent.

    Attributes:
        path: Path of the setting; an inherited one starts with its branch.
        old: Old value as text.
        new: New value as text.
    """

    path: str
    old: str
    new: str


def compare_settings(
    old: DeploymentSettings | None, new: DeploymentSettings
) -> tuple[SettingChange, ...]:
    """Returns the differences between old and new settings.

    Args:
        old: Old settings, None if there were none.
        new: New settings.

    Returns:
        The changes, sorted by path.
    """
    before = dict(_flatten(old)) if old else {}
    after = dict(_flatten(new))
    return tuple(
        SettingChange(path, before.get(path, ""), after.get(path, ""))
        for path in sorted(before.keys() | after.keys())
        if before.get(path, "") != after.get(path, "")
    )


def _flatten(settings: DeploymentSettings) -> Iterator[tuple[str, str]]:
    """Yields the path and the value of each setting as text."""
    yield "deployment", settings.name
    for region in settings.regions:
        yield f"regions.{region.name}", ", ".join(region.availability_zones)
    for name, service in settings.services.items():
        for item in fields(service):
            yield f"services.{name}.{item.name}", str(getattr(service, item.name))
    yield "tenants.header", settings.tenants.header
    yield "tenants.default", str(settings.tenants.default)
    for value, tenant in settings.tenants.by_value.items():
        yield f"tenants.{value}", str(tenant)
    for scope, branch in settings.branches.items():
        for leaf in branch.leaves:
            yield f"[{scope}] {leaf.group}.{leaf.name}", str(leaf.value)
