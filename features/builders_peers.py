"""Builds peer links on loopback for tests."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass

import zmq

from rosemarydeal.core import Address
from rosemarydeal.peers import PeerLink, PeerLinkSettings

__all__ = ["KeyPair", "key_pair", "link", "receive_one"]

RECEIVE_TIMEOUT_S = 20.0


@dataclass(frozen=True, slots=True)
class KeyPair:
    """A CURVE key pair in Z85."""

    public: str
    secret: str


def key_pair() -> KeyPair:
    """Builds a new key pair."""
    public, secret = zmq.curve_keypair()
    return KeyPair(public.decode("ascii"), secret.decode("ascii"))


def link(node: str, keys: KeyPair, allowed: set[str]) -> PeerLink:
    """Builds a link on a free loopback port."""
    address = Address("127.0.0.1", 0)
    settings = PeerLinkSettings(
        node, address, keys.public, keys.secret, frozenset(allowed)
    )
    return PeerLink(settings)


async def receive_one(receiver: PeerLink):
    """Waits for one message; fails after a timeout."""
    async with asyncio.timeout(RECEIVE_TIMEOUT_S):
        return await receiver.receive()
