"""Compares two deployments' settings by meaning, not by text."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, fields

from .deployment import DeploymentSettings

__all__ = ["SettingChange", "compare_settings"]


@dataclass(frozen=True, slots=True)
class SettingChange:
    """Says how one setting differs; an empty text means that it is not there.

    Attributes:
        path: What the setting is about.
        old: Value before, as text.
        new: Value after, as text.
    """

    path: str
    old: str
    new: str


def compare_settings(
    old: DeploymentSettings | None, new: DeploymentSettings
) -> tuple[SettingChange, ...]:
    """Returns what changes from one deployment's settings to another's.

    Args:
        old: Settings before, None if there were none.
        new: Settings after.

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
    """Yields each setting's path and value as texts."""
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
