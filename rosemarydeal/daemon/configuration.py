"""Follows the configuration and derives from it what is in force here."""

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
    """Holds the configuration in force at this process.

    Attributes:
        version: Version of the configuration, 0 before the first.
        deployment: The checked settings, None before the first.
        own: Settings that hold for the upstream beside this process.
        by_service: Settings of each service at this process's place.
    """

    version: int = 0
    deployment: DeploymentSettings | None = None
    own: Effective = field(default_factory=Effective)
    by_service: immutables.Map[str, Effective] = field(default_factory=immutables.Map)


def adopt(
    current: ActiveConfiguration, versioned: Versioned, node: NodeSettings
) -> ActiveConfiguration:
    """Puts a newer configuration in force.

    Args:
        current: What is in force.
        versioned: The configuration's object as read.
        node: Settings of this process.

    Returns:
        What is in force afterwards; unchanged if the object is older or its
        content doesn't pass the checks.
    """
    if versioned.version <= current.version:
        return current
    deployment = _load(versioned)
    if deployment is None:
        return current
    _log.info("config_in_force", version=versioned.version)
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
    """Returns the limits of the guard of the upstream beside this process."""
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
    """Returns the settings of the own service's placement.

    Args:
        configuration: The configuration in force.
        own: Settings of the service that the upstream serves.

    Returns:
        The settings, or None for a service without keys.
    """
    if not own.keyed:
        return None
    moves = RebalanceSettings(moves_per_minute=configuration.own.moves.per_minute)
    return ControlSettings(own.name, own.slices, rebalance=moves)


def entry_settings(
    configuration: ActiveConfiguration, node: NodeSettings
) -> EntrySettings:
    """Returns the bounds of the routing at this process."""
    own = configuration.own
    return EntrySettings(
        availability_zone=node.availability_zone,
        retry_share=own.retries.budget_share,
        attempts_max=own.retries.attempts,
        hedge_quantile=own.hedging.quantile,
        hedge_share=own.hedging.budget_share if own.hedging.enabled else 0.0,
    )


def ownership_settings(own: Effective) -> OwnershipSettings:
    """Returns the times of the lease.

    They hold for the whole life of a process: one that changed them while its
    witnesses count by others could serve a key beside its next owner.

    Args:
        own: Settings of the first configuration in force.

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
    """Returns the checked settings in a configuration's object, if they pass."""
    envelope = decode_envelope(versioned.value)
    if envelope is None:
        _log.error("config_refused", version=versioned.version, problems=["malformed"])
        return None
    deployment, problems = load_envelope(envelope)
    if deployment is None:
        codes = [str(problem) for problem in problems]
        _log.error("config_refused", version=versioned.version, problems=codes)
    return deployment


def _tenant_weights(configuration: ActiveConfiguration) -> immutables.Map[str, float]:
    """Returns the weights of the tenants' classes."""
    if configuration.deployment is None:
        return immutables.Map()
    classes = configuration.deployment.tenants.by_value.values()
    return immutables.Map({item.name: item.weight for item in classes})
