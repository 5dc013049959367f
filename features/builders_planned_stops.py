"""Callers of processes that are stopped as planned, and the checks of their answers."""

from __future__ import annotations

import asyncio
import signal
import time
from contextlib import suppress
from dataclasses import dataclass

from features.builders_node import HOST, a_configuration
from features.builders_node_programs import GRACE_S, ProgramDeployment

__all__ = ["StopExchange", "StopTrial", "check_answered", "check_not_run"]

VMS = 3
ORDER_LIMIT_MS = 8000
# As many as an upstream has slots, since one may own all keys.
WARM_UP_KEYS = range(0, 65536, 8192)
CONFIGURED_S = 1.0
# Connections of a closed deployment end meanwhile.
CLOSE_S = 0.1
# Ends of the uploads, after SIGTERM.
FIRST_END_S = 0.2
LAST_END_S = 5.7
UPLOADS = 60
KEPT_CALLERS = 6
PAUSE_S = 0.05
CHECK_PERIOD_S = 0.05
MIN_LATE_S = 0.1
SIGNAL_PAUSE_S = 1.0
# Between the stops of two processes; the one before is back by then.
TURN_S = 7.0
# What the platform's rules allow.
LOSS_SLACK_S = 0.2
# The upstream's answer, and not run. Any other one replaces an answer that is cut, as
# no order reaches its limit.
WHOLE_ANSWERS = (200, 503)
EXCUSED_SENT_S = 3.0
LAST_SIXTH_S = GRACE_S * 5 / 6
HEAD_END = b"\r\n\r\n"


@dataclass
class StopExchange:
    """An order and what came of it; times count from SIGTERM.

    Attributes:
        request_id: Its id.
        sent_s: When its last byte was sent.
        ended_s: When its answer or the end of its connection came.
        status: Status of the answer; 0 without a whole answer.
        closes: Whether the answer announces the end of the connection.
    """

    request_id: str
    sent_s: float
    ended_s: float = 0.0
    status: int = 0
    closes: bool = False


class StopTrial:
    """A deployment of which processes are stopped while callers send orders.

    Attributes:
        exchanges: The orders that were sent.
        late: Delays of the event loop of the callers and upstreams: the times since
            the first stop and the seconds.
    """

    def __init__(self, work_s, directory):
        self.deployment = ProgramDeployment(VMS, directory, work_s=work_s)
        self.exchanges = []
        self.late = []
        self._stopped_at = {}
        self._watch = None

    @property
    def ran(self):
        """Returns the ids of the orders that were passed on to an upstream."""
        endpoints = self.deployment.endpoints.values()
        return {identity for endpoint in endpoints for identity in endpoint.ran}

    async def start(self):
        """Starts the deployment and lets each process measure its upstream."""
        await self.deployment.start()
        self.deployment.store.put(
            "config", "main", a_configuration(2, timeout_ms=ORDER_LIMIT_MS)
        )
        await asyncio.sleep(CONFIGURED_S)
        for name in self.deployment.nodes:
            sending = [
                self.deployment.send_request(name, key, "/order/1")
                for key in WARM_UP_KEYS
            ]
            answers = await asyncio.gather(*sending)
            # Some wait for keys that move between the upstreams.
            answered = sum(answer.status == 200 for answer in answers)
            assert answered > len(answers) / 2, answers
        self._watch = asyncio.create_task(self._watch_loop())

    async def close(self):
        """Ends the deployment."""
        if self._watch is not None:
            self._watch.cancel()
        await self.deployment.close()
        await asyncio.sleep(CLOSE_S)

    async def stop_under_uploads(self, name, signals):
        """Sends signals to a process while uploads to it end at various times."""
        step_s = (LAST_END_S - FIRST_END_S) / UPLOADS
        begun = asyncio.Event()
        uploads = [
            asyncio.create_task(self._upload(name, n, FIRST_END_S + n * step_s, begun))
            for n in range(UPLOADS)
        ]
        await asyncio.sleep(0.3)
        program = self.deployment.nodes[name]
        self._stopped_at[name] = time.monotonic()
        begun.set()
        for number in signals:
            program.send(signal.Signals[number])
            await asyncio.sleep(SIGNAL_PAUSE_S)
        assert await program.wait_end() == 0
        await asyncio.gather(*uploads)

    async def stop_in_turn(self):
        """Stops and starts all processes in turn while callers keep sending."""
        until = asyncio.Event()
        callers = [
            asyncio.create_task(self._keep_sending(name, number, until))
            for name in self.deployment.nodes
            for number in range(KEPT_CALLERS)
        ]
        for name in list(self.deployment.nodes):
            program = self.deployment.nodes[name]
            self._stopped_at[name] = time.monotonic()
            program.send(signal.SIGTERM)
            assert await program.wait_end() == 0
            await self.deployment.start_node(name)
            await asyncio.sleep(self._stopped_at[name] + TURN_S - time.monotonic())
        until.set()
        await asyncio.gather(*callers)

    async def _watch_loop(self):
        """Records when the event loop of this process was late."""
        while True:
            due_at = time.monotonic() + CHECK_PERIOD_S
            await asyncio.sleep(CHECK_PERIOD_S)
            late_s = time.monotonic() - due_at
            if late_s > MIN_LATE_S and self._stopped_at:
                since_s = time.monotonic() - min(self._stopped_at.values())
                self.late.append((round(since_s, 2), round(late_s, 2)))

    async def _upload(self, name, number, end_s, begun):
        """Sends an order whose last byte is sent at a time after SIGTERM."""
        reader, writer = await asyncio.open_connection(self._host(name), 9002)
        request_id = f"upload-{number}"
        writer.write(_order(request_id, number * 65535 // UPLOADS) + b"12")
        await begun.wait()
        await asyncio.sleep(self._stopped_at[name] + end_s - time.monotonic())
        exchange = StopExchange(request_id, self._since(name))
        writer.write(b"3")
        await self._finish(name, exchange, reader)
        await _close(writer)

    async def _keep_sending(self, name, number, until):
        """Sends orders on connections that are kept as long as possible."""
        writer, count = None, 0
        while not until.is_set():
            await asyncio.sleep(PAUSE_S)
            if writer is None:
                try:
                    host = self._host(name)
                    reader, writer = await asyncio.open_connection(host, 9002)
                except OSError:
                    continue
            if reader.at_eof():
                await _close(writer)
                writer = None
                continue
            count += 1
            request_id = f"kept-{name}-{number}-{count}"
            exchange = StopExchange(request_id, self._since(name))
            writer.write(_order(request_id, count * 4099 % 65536) + b"123")
            await self._finish(name, exchange, reader)
            if exchange.closes or not exchange.status:
                await _close(writer)
                writer = None
        if writer is not None:
            await _close(writer)

    async def _finish(self, name, exchange, reader):
        """Reads the answer to an order."""
        self.exchanges.append(exchange)
        try:
            head = (await reader.readuntil(HEAD_END)).lower()
            fields = dict(line.split(b": ", 1) for line in head.split(b"\r\n")[1:-2])
            await reader.readexactly(int(fields[b"content-length"]))
            exchange.status = int(head.split(b" ")[1])
            exchange.closes = fields.get(b"connection") == b"close"
        except (asyncio.IncompleteReadError, ConnectionError):
            exchange.status = 0
        exchange.ended_s = self._since(name)

    def _since(self, name):
        """Returns the time since a process was sent SIGTERM, negative before."""
        return time.monotonic() - self._stopped_at.get(name, float("inf"))

    def _host(self, name):
        return self.deployment.hosts[name]


def check_answered(trial):
    """Checks that no order was cut that was passed on or read whole.

    Raises:
        AssertionError: An order was cut, and the platform's rules do not excuse it.
    """
    ran, cut = trial.ran, []
    for entry in trial.exchanges:
        if entry.status in WHOLE_ANSWERS:
            continue
        passed_on = entry.request_id in ran
        excused = entry.sent_s <= EXCUSED_SENT_S and entry.ended_s >= LAST_SIXTH_S
        read = entry.ended_s - entry.sent_s > LOSS_SLACK_S
        if (passed_on and not excused) or (read and not passed_on):
            cut.append(entry)
    assert not cut, f"{len(cut)} of {len(trial.exchanges)}: {cut}, late: {trial.late}"
    answered = sum(entry.status == 200 for entry in trial.exchanges)
    assert answered > 0.1 * len(trial.exchanges), answered


def check_not_run(trial):
    """Checks that no order ran whose caller was told otherwise.

    Raises:
        AssertionError: An order ran although it was reported as not run.
    """
    wrong = [
        e for e in trial.exchanges if e.status == 503 and e.request_id in trial.ran
    ]
    assert not wrong, wrong


async def _close(writer):
    """Closes a connection, which the process may have reset."""
    writer.close()
    with suppress(ConnectionError):
        await writer.wait_closed()


def _order(request_id, key):
    """Returns the head of an order with a body of three bytes."""
    fields = [
        "POST /order/1 HTTP/1.1",
        f"host: {HOST}",
        f"request-id: {request_id}",
        f"deadline-ms: {ORDER_LIMIT_MS}",
        f"shard-key: {key}",
        "content-length: 3\r\n\r\n",
    ]
    return "\r\n".join(fields).encode()
