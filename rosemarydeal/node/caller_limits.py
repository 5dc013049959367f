"""Limits of connections with callers, from the operators' configuration."""

from __future__ import annotations

from rosemarydeal.core.fleet import CallerLimits
from rosemarydeal.proxy import HttpLimits

__all__ = ["DEFAULT_LIMITS", "UNCONFIGURED_LIMITS", "http_limits"]

# All callers of a VM may come from one address. A process has 4,100 file
# descriptors or more.
CALLER_CONNECTIONS = 3000


def http_limits(limits: CallerLimits) -> HttpLimits:
    """Returns the limits of connections for those of a configuration.

    No caller that keeps the configured times is cut off; longer ones do no harm.
    """
    defaults = HttpLimits()
    return HttpLimits(
        header_bytes=limits.header_bytes,
        body_bytes=limits.body_bytes,
        connections_per_address=CALLER_CONNECTIONS,
        header_time_s=max(limits.header_time_s, defaults.header_time_s),
        idle_time_s=max(limits.idle_time_s, defaults.idle_time_s),
    )


# Of the internal ports.
DEFAULT_LIMITS = HttpLimits(connections_per_address=CALLER_CONNECTIONS)
# Of the callers' port until there is a configuration: above the limits that operators
# set. Bodies are not read until then.
UNCONFIGURED_LIMITS = HttpLimits(
    header_bytes=65_536,
    body_bytes=1 << 40,
    connections_per_address=CALLER_CONNECTIONS,
)
