"""Deliberate defects of the rules that tell the answers of an upstream apart."""

from __future__ import annotations

from features.mutants import Mutant

__all__ = ["MUTANTS"]

FUZZ = ("-m", "features.stutter_budget", "requests", "calls")
CONNECTION = "rosemarydeal/proxy/client_connection.py"
HEADS = "rosemarydeal/proxy/embedded_heads.py"
POOL = "rosemarydeal/proxy/client.py"
UPSTREAM = "rosemarydeal/platform/upstream.py"

MUTANTS = (
    Mutant(
        "copy passed on in a body",
        HEADS,
        "if STATUS_LINE.search(searched):",
        "if False:",
        FUZZ,
    ),
    Mutant(
        "start of a copy passed on in a body",
        HEADS,
        "if STATUS_LINE_START.search(self._tail):",
        "if False:",
        FUZZ,
    ),
    Mutant(
        "success that ends after its head",
        HEADS,
        "if self._needs_body and not self._tail:",
        "if False:",
        FUZZ,
    ),
    Mutant(
        "headers of two answers merged",
        HEADS,
        "if STATUS_LINE.search(text):",
        "if False:",
        FUZZ,
    ),
    Mutant(
        "id sent twice over a connection",
        POOL,
        "if not connection.has_carried(request):",
        "if connection:",
        FUZZ,
    ),
    Mutant(
        "promise believed without proof",
        UPSTREAM,
        "if response.status in NOT_RUN_STATUSES:",
        "if False:",
        FUZZ,
    ),
    Mutant(
        "answers not identified",
        UPSTREAM,
        "connection=ConnectionSettings(identifying_header=names.REQUEST_ID),",
        "connection=ConnectionSettings(),",
        FUZZ,
    ),
    Mutant(
        "answer without an id taken for identified",
        CONNECTION,
        "self._identified = not name or bool(echoed)",
        "self._identified = True",
        FUZZ,
    ),
    Mutant(
        "answer to another request taken",
        CONNECTION,
        "        if echoed - {identity}:\n",
        "        if False:\n",
        FUZZ,
    ),
)
