"""Holds the active configuration and derives the settings of the policies."""

from __future__ import annotations

from dataclasses import dataclass, field

import immutables
import structlog

from rosemarydeal.core import Versioned
from rosemarydeal.policy.control import ControlSettings
from rosemarydeal.policy.entry import EntrySettings
from rosemarydeal.policy.guard import GuardSettings
from rosemarydeal.policy.ownership import OwnershipSettings
from rosemarydeal.policy.rebalance import RebalanceSettings
from rosemarydeal.proxy import HttpLimits
from rosemarydeal.settings import (
    DeploymentSettings,
    Effective,
    NodeSettings,
    ServiceSettings,
    decode_envelope,
    effective_settings,
    load_envelope,
)

__all__ = [
    "ActiveConfiguration",
    "adopt",
    "control_settings",
    "entry_settings",
    "guard_settings",
    "http_limits",
    "ownership_settings",
]

_log = structlog.get_logger()


@dataclass(frozen=True, slots=True)
class ActiveConfiguration:
    """The configuration in force at this process.

    Attributes:
        version: Version of the configuration, 0 before the first.
        deployment: The validated settings, None before the first.
        own: Settings of the upstream beside this process.
        by_service: Settings of each service at the place of this process.
    """

    version: int = 0
    deployment: DeploymentSettings | None = None
    own: Effective = field(default_factory=Effective)
    by_service: immutables.Map[str, Effective] = field(default_factory=immutables.Map)


def adopt(
    current: ActiveConfiguration, versioned: Versioned, node: NodeSettings
) -> ActiveConfiguration:
    """Activates a configuration if it is newer and valid.

    Args:
        current: The active configuration.
        versioned: The configuration's object as read.
        node: Settings of this process.

    Returns:
        The new active configuration, or the current one if the object is not
        newer or its content is invalid.
    """
    if versioned.version <= current.version:
        return current
    deployment = _load(versioned)
    if deployment is None:
        return current
    _log.info("config_activated", version=versioned.version)
    place = node.place
    by_service = immutables.Map(
        {
            name: effective_settings(deployment, name, place)
            for name in deployment.services
        }
    )
    own = effective_settings(deployment, node.service, place)
    return ActiveConfiguration(versioned.version, deployment, own, by_service)


def guard_settings(
    configuration: ActiveConfiguration, node: NodeSettings
) -> GuardSettings:
    """Returns the settings of the guard of the upstream beside this process."""
    own = configuration.own
    return GuardSettings(
        node=node.node,
        service=node.service,
        slots=own.limits.slots,
        connections=own.limits.connections,
        new_connections_per_s=own.limits.new_connections_per_s,
        queue_length=own.limits.queue_length,
        window_s=own.ledger.window_s,
        answer_bytes=own.ledger.bytes,
        cold_start_s=own.cold_start.duration_s,
        cold_share=own.cold_start.initial_share,
        tenant_weights=_tenant_weights(configuration),
    )


def control_settings(
    configuration: ActiveConfiguration, own: ServiceSettings
) -> ControlSettings | None:
    """Returns the settings for placing the slices of the own service.

    Args:
        configuration: The active configuration.
        own: Settings of the service that the upstream serves.

    Returns:
        The settings, or None for a service without keys.
    """
    if not own.keyed:
        return None
    moves = RebalanceSettings(
        moves_per_minute=configuration.own.moves.per_minute,
        merge_quiet_s=configuration.own.ledger.window_s,
    )
    return ControlSettings(own.name, own.slices, rebalance=moves)


def entry_settings(
    configuration: ActiveConfiguration, node: NodeSettings
) -> EntrySettings:
    """Returns the settings of the entry at this process."""
    own = configuration.own
    return EntrySettings(
        node=node.node,
        availability_zone=node.availability_zone,
        retry_share=own.retries.budget_share,
        attempts_max=own.retries.attempts,
        hedge_quantile=own.hedging.quantile,
        hedge_share=own.hedging.budget_share if own.hedging.enabled else 0.0,
    )


def ownership_settings(own: Effective) -> OwnershipSettings:
    """Returns the settings of the ownership policy.

    They stay unchanged for the whole run of a process. If a process changed its
    lease times while its witnesses still used the old ones, it could serve a key
    at the same time as the next owner.

    Args:
        own: Settings of the upstream in the first active configuration.

    Returns:
        The settings of the ownership policy.
    """
    group = own.ownership
    return OwnershipSettings(
        lease_s=group.lease_s,
        ask_interval_s=group.ask_interval_s,
        silence_s=group.silence_s,
        window_s=group.window_s,
        clock_drift=group.clock_drift,
        dispatch_margin_s=group.dispatch_margin_s,
    )


def http_limits(settings: Effective) -> HttpLimits:
    """Returns the limits of connections with callers."""
    return HttpLimits(
        header_bytes=settings.limits.header_bytes,
        body_bytes=settings.limits.body_bytes,
        connections_per_address=settings.limits.connections_per_caller,
        header_time_s=settings.limits.header_time_s,
    )


def _load(versioned: Versioned) -> DeploymentSettings | None:
    """Returns the settings in a configuration's object, None if they are invalid."""
    envelope = decode_envelope(versioned.value)
    if envelope is None:
        _log.error("config_rejected", version=versioned.version, problems=["malformed"])
        return None
    deployment, problems = load_envelope(envelope)
    if deployment is None:
        codes = [str(problem) for problem in problems]
        _log.error("config_rejected", version=versioned.version, problems=codes)
    return deployment


def _tenant_weights(configuration: ActiveConfiguration) -> immutables.Map[str, float]:
    """Returns the weights of the tenant classes by name."""
    if configuration.deployment is None:
        return immutables.Map()
    classes = configuration.deployment.tenants.by_value.values()
    return immutables.Map({item.name: item.weight for item in classes})
