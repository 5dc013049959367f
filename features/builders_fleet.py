"""Finds an unused loopback network for a test fleet."""

from __future__ import annotations

import os
import socket

from rosemarydeal.demo.fleet import PLATFORM_PORT

__all__ = ["free_network"]

FIRST_NETWORK = 100
LAST_NETWORK = 250


def free_network() -> int:
    """Returns a number N for which the platform's address 127.N.0.1 is unused.

    Test runs that start at the same moment begin at different numbers.
    """
    networks = range(FIRST_NETWORK, LAST_NETWORK)
    first = os.getpid() % len(networks)
    for network in (*networks[first:], *networks[:first]):
        with socket.socket() as probe:
            probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                probe.bind((f"127.{network}.0.1", PLATFORM_PORT))
            except OSError:
                continue
            return network
    raise AssertionError("all loopback networks are in use")
