"""Admits peers by their CURVE public keys, by the ZAP protocol of ZeroMQ."""

from __future__ import annotations

import asyncio
import contextlib

import zmq
import zmq.asyncio
from zmq.auth.base import Authenticator

__all__ = ["PeerAuthenticator"]


class _AllowedKeys:
    """Answers whether a CURVE public key may connect."""

    def __init__(self, keys: frozenset[str]) -> None:
        self._keys = frozenset(key.encode("ascii") for key in keys)

    def callback(self, domain: str, key: bytes) -> bool:
        """Says whether a key in Z85 is known."""
        return key in self._keys


class PeerAuthenticator:
    """Owns the task that answers the handshakes of one context."""

    def __init__(self, context: zmq.asyncio.Context, keys: frozenset[str]) -> None:
        self._authenticator = Authenticator(context)
        self._authenticator.configure_curve_callback("*", _AllowedKeys(keys))
        self._poller = zmq.asyncio.Poller()
        self._task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Starts to answer."""
        self._authenticator.start()
        self._poller.register(self._authenticator.zap_socket, zmq.POLLIN)
        self._task = asyncio.create_task(self._serve_handshakes())

    async def stop(self) -> None:
        """Stops to answer and closes the socket."""
        if self._task is not None:
            self._task.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await self._task
            # The cancelled poll detaches from the socket in the loop's next turn.
            await asyncio.sleep(0)
        self._authenticator.stop()

    async def _serve_handshakes(self) -> None:
        """Answers handshakes until cancelled."""
        socket = self._authenticator.zap_socket
        while True:
            await self._poller.poll()
            # A poll may end without a handshake to answer.
            with contextlib.suppress(zmq.Again):
                frames = socket.recv_multipart(zmq.NOBLOCK)
                await self._authenticator.handle_zap_message(frames)
