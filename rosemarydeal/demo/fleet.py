"""Whole deployment on loopback: platform, router processes and upstreams."""

from __future__ import annotations

import asyncio
import contextlib
from dataclasses import dataclass
from pathlib import Path

import zmq

from rosemarydeal.core import Address
from rosemarydeal.core.operator import CONFIG_KEY
from rosemarydeal.daemon.process import RouterProcess
from rosemarydeal.objects import PlatformClient, PlatformSettings
from rosemarydeal.settings import (
    ConfigEnvelope,
    DeploymentSettings,
    NodeSettings,
    Seed,
    effective_settings,
    encode_envelope,
    load_deployment,
)
from rosemarydeal.standins.announcer import Announcer
from rosemarydeal.standins.platform import StandInPlatform
from rosemarydeal.standins.upstream import (
    StandInUpstream,
    UpstreamBehaviour,
    UpstreamCounts,
)

__all__ = ["DeploymentFleet", "FleetPlan", "VirtualMachine"]

PLATFORM_PORT = 7300
UPSTREAM_PORT = 9000
PEER_PORT = 7400
ADMIN_PORT = 7401
FIRST_HOST = 11
SEEDS_PER_VM = 3


@dataclass(frozen=True, slots=True)
class FleetPlan:
    """Deployment to run and its size.

    Attributes:
        file: Deployment file.
        network: Second octet of the loopback addresses, 127.N.0.x.
        upstreams: Number of upstreams of each service.
        service_time_s: Service time of one request at an upstream, in seconds.
    """

    file: Path
    network: int
    upstreams: dict[str, int]
    service_time_s: float = 0.002


class VirtualMachine:
    """One VM: an upstream and its router process."""

    def __init__(
        self,
        settings: NodeSettings,
        behaviour: UpstreamBehaviour,
        counts: UpstreamCounts,
    ) -> None:
        self._settings = settings
        self._upstream = StandInUpstream(settings.upstream, behaviour, counts)
        self._process: RouterProcess | None = None
        self._announcer = Announcer(self._upstream, settings.admin, settings.token)
        self._announce_task: asyncio.Task[None] | None = None

    @property
    def name(self) -> str:
        """Returns the name of the VM's node."""
        return self._settings.node

    @property
    def settings(self) -> NodeSettings:
        """Returns the settings of the process."""
        return self._settings

    @property
    def upstream(self) -> StandInUpstream:
        """Returns the upstream."""
        return self._upstream

    @property
    def process(self) -> RouterProcess | None:
        """Returns the running process, or None."""
        return self._process

    async def start(self) -> None:
        """Starts the upstream and the process."""
        if not self._upstream.serving:
            await self._upstream.start()
        self._process = RouterProcess(self._settings)
        await self._process.start()
        if self._announce_task is None:
            self._announce_task = asyncio.create_task(self._announcer.run())

    async def kill(self) -> None:
        """Stops the upstream and the process at once, as a loss of the VM does."""
        await self._upstream.stop()
        await self._stop_announcing()
        process, self._process = self._process, None
        if process is not None:
            await process.stop()

    async def shut_down(self, timeout_s: float) -> bool:
        """Shuts the process down gracefully and then stops the upstream.

        Args:
            timeout_s: Longest time for the hand-over, in seconds.

        Returns:
            Whether no request was cut off.
        """
        process, self._process = self._process, None
        no_request_cut = (
            await process.shut_down(timeout_s) if process is not None else True
        )
        await self._stop_announcing()
        await self._upstream.stop()
        return no_request_cut

    async def _stop_announcing(self) -> None:
        """Stops the announcements of the upstream."""
        task, self._announce_task = self._announce_task, None
        if task is not None:
            task.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await task


class DeploymentFleet:
    """Platform and all VMs of one deployment."""

    def __init__(self, plan: FleetPlan) -> None:
        self._plan = plan
        self._text = plan.file.read_text("utf-8")
        settings, problems = load_deployment(self._text, str(plan.file))
        if settings is None:
            raise ValueError("\n".join(str(problem) for problem in problems))
        self._settings = settings
        self._platform = StandInPlatform(self._address(1, PLATFORM_PORT))
        self._counts = UpstreamCounts()
        self._vms = self._build_vms()

    @property
    def settings(self) -> DeploymentSettings:
        """Returns the deployment's settings."""
        return self._settings

    @property
    def platform(self) -> StandInPlatform:
        """Returns the platform."""
        return self._platform

    @property
    def counts(self) -> UpstreamCounts:
        """Returns the upstreams' counts, over all their incarnations."""
        return self._counts

    @property
    def vms(self) -> tuple[VirtualMachine, ...]:
        """Returns all VMs."""
        return self._vms

    def running(self, service: str | None = None) -> tuple[VirtualMachine, ...]:
        """Returns the VMs whose process runs, of one service or of all services."""
        return tuple(
            vm
            for vm in self._vms
            if vm.process is not None and service in (None, vm.settings.service)
        )

    async def start(self) -> None:
        """Starts the platform, applies the configuration and starts all VMs."""
        await self._platform.start()
        await self._apply()
        await asyncio.gather(*[vm.start() for vm in self._vms])

    async def stop(self) -> None:
        """Stops everything."""
        await asyncio.gather(*[vm.kill() for vm in self._vms])
        await self._platform.stop()

    async def _apply(self) -> None:
        """Writes the deployment file to the platform."""
        client = PlatformClient(PlatformSettings(self._platform.address))
        envelope = ConfigEnvelope(str(self._plan.file), self._text, "first")
        await client.put(CONFIG_KEY, encode_envelope(envelope), 0, "first")
        await client.close()

    def _address(self, number: int, port: int) -> Address:
        """Returns an address in the deployment's loopback network."""
        return Address(f"127.{self._plan.network}.0.{number}", port)

    def _build_vms(self) -> tuple[VirtualMachine, ...]:
        """Builds all VMs, with a CURVE key pair each."""
        names = [
            (service, number)
            for service, count in self._plan.upstreams.items()
            for number in range(1, count + 1)
        ]
        key_pairs = [zmq.curve_keypair() for _ in names]
        public_keys = tuple(pair[0].decode("ascii") for pair in key_pairs)
        vms = []
        for position, (service, number) in enumerate(names):
            zones = self._settings.services[service].availability_zones
            zone = zones[(number - 1) % len(zones)]
            host_number = position + FIRST_HOST
            settings = NodeSettings(
                node=f"{service}-{number}",
                region=self._settings.region_of(zone),
                availability_zone=zone,
                service=service,
                upstream=self._address(host_number, UPSTREAM_PORT),
                entry_host=self._address(host_number, 0).host,
                peer=self._address(host_number, PEER_PORT),
                admin=self._address(host_number, ADMIN_PORT),
                platform=self._platform.address,
                public_key=public_keys[position],
                secret_key=key_pairs[position][1].decode("ascii"),
                peer_keys=public_keys,
                seeds=self._seeds(public_keys, position),
            )
            vms.append(
                VirtualMachine(settings, self._behaviour(settings), self._counts)
            )
        return tuple(vms)

    def _seeds(self, public_keys: tuple[str, ...], position: int) -> tuple[Seed, ...]:
        """Returns the peers that the VM at a position contacts when it starts."""
        others = [other for other in range(len(public_keys)) if other != position]
        return tuple(
            Seed(self._address(other + FIRST_HOST, PEER_PORT), public_keys[other])
            for other in others[:SEEDS_PER_VM]
        )

    def _behaviour(self, settings: NodeSettings) -> UpstreamBehaviour:
        """Returns the behaviour of an upstream as its settings describe it."""
        effective = effective_settings(self._settings, settings.service, settings.place)
        return UpstreamBehaviour(
            slots=effective.limits.slots,
            connections=effective.limits.connections,
            service_time_s=self._plan.service_time_s,
            cold_s=effective.cold_start.duration_s,
            cold_share=effective.cold_start.initial_share,
        )
