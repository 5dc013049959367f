"""Authenticates peers by their CURVE public keys, over ZeroMQ's ZAP protocol."""

from __future__ import annotations

import asyncio
import contextlib

import zmq
import zmq.asyncio
from zmq.auth.base import Authenticator

__all__ = ["PeerAuthenticator"]


class _AllowedKeys:
    """Credentials provider that accepts a fixed set of CURVE public keys."""

    def __init__(self, keys: frozenset[str]) -> None:
        self._keys = frozenset(key.encode("ascii") for key in keys)

    def callback(self, domain: str, key: bytes) -> bool:
        """Returns whether a Z85-encoded key is allowed."""
        return key in self._keys


class PeerAuthenticator:
    """Runs the ZAP handler of one ZeroMQ context."""

    def __init__(self, context: zmq.asyncio.Context, keys: frozenset[str]) -> None:
        self._authenticator = Authenticator(context)
        self._authenticator.configure_curve_callback("*", _AllowedKeys(keys))
        self._poller = zmq.asyncio.Poller()
        self._task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Starts the handler."""
        self._authenticator.start()
        self._poller.register(self._authenticator.zap_socket, zmq.POLLIN)
        self._task = asyncio.create_task(self._serve_handshakes())

    async def stop(self) -> None:
        """Stops the handler and closes its socket."""
        if self._task is not None:
            self._task.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await self._task
            # The cancelled poll releases the socket in the event loop's next iteration.
            await asyncio.sleep(0)
        self._authenticator.stop()

    async def _serve_handshakes(self) -> None:
        """Handles ZAP requests until cancelled."""
        socket = self._authenticator.zap_socket
        while True:
            await self._poller.poll()
            # The poll can return without a pending request.
            with contextlib.suppress(zmq.Again):
                frames = socket.recv_multipart(zmq.NOBLOCK)
                await self._authenticator.handle_zap_message(frames)
