"""Deliberate defects of the rules that tell the answers of an upstream apart."""

from __future__ import annotations

from features.mutants import Mutant

__all__ = ["MUTANTS"]

FUZZ = ("-m", "features.stutter_budget", "requests", "calls")
STATED = ("-m", "features.run", "features/stated_answers.feature")
SCENARIOS = ("-m", "features.run", "features/named_answers.feature")
COPIES = ("-m", "features.run", "features/late_copies.feature")
IDENTIFICATION = "rosemarydeal/proxy/identification.py"
INSIDE = ("-m", "features.stutter_budget", "inside")
HEADS = "rosemarydeal/proxy/embedded_heads.py"
POOL = "rosemarydeal/proxy/client.py"
UPSTREAM = "rosemarydeal/platform/upstream.py"

MUTANTS = (
    Mutant(
        "copy passed on in a body",
        HEADS,
        "if VERSION in searched and STATUS_LINE.search(searched):",
        "if False:",
        FUZZ,
    ),
    Mutant(
        "start of a copy passed on in a body",
        HEADS,
        "has_start = self._has_status_line or STATUS_LINE_START.search(self._tail)",
        "has_start = self._has_status_line",
        FUZZ,
    ),
    Mutant(
        "success that ends after its head",
        HEADS,
        "        if self._needs_body:\n",
        "        if False:\n",
        FUZZ,
    ),
    Mutant(
        "headers of two answers merged",
        HEADS,
        "if VERSION in text and STATUS_LINE.search(text):",
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
        "identifying_header=names.REQUEST_ID, marking_headers=names.ANSWER_MARKS",
        "",
        FUZZ,
    ),
    Mutant(
        "heads of the protocol in a body taken for a text",
        HEADS,
        "return self._identifying_header not in names",
        "return False",
        COPIES,
    ),
    Mutant(
        "answer without an id taken for identified",
        IDENTIFICATION,
        "self._identified = not self._header or bool(named)",
        "self._identified = True",
        FUZZ,
    ),
    Mutant(
        "answer to another request taken",
        IDENTIFICATION,
        "        if named - {self._current}:\n",
        "        if False:\n",
        FUZZ,
    ),
    Mutant(
        "body with a length not searched for copies",
        HEADS,
        "if VERSION in searched and STATUS_LINE.search(searched):",
        "if self._unframed and STATUS_LINE.search(searched):",
        INSIDE,
    ),
    Mutant(
        "answer that names another request, too, taken",
        IDENTIFICATION,
        "        if named - {self._current}:\n",
        "        if named and self._current not in named:\n",
        SCENARIOS,
    ),
    Mutant(
        "answer that names an unknown request skipped",
        IDENTIFICATION,
        "self._current not in named and named <= self._carried",
        "self._current not in named and bool(named & self._carried)",
        SCENARIOS,
    ),
    Mutant(
        "status of a cut head believed",
        HEADS,
        "for text in (reason, *(value for _, value in headers)):",
        "for text in (value for _, value in headers):",
        SCENARIOS,
    ),
    Mutant(
        "ids kept without limit",
        IDENTIFICATION,
        "return self._identified and len(self._carried) < MAX_REQUESTS",
        "return self._identified",
        SCENARIOS,
    ),
    Mutant(
        "success without a signature passed on",
        UPSTREAM,
        "if response.status in SUCCESSES and not (signed and echoed_id):",
        "if response.status in SUCCESSES and not echoed_id:",
        STATED,
    ),
    Mutant(
        "success without an id passed on",
        UPSTREAM,
        "if response.status in SUCCESSES and not (signed and echoed_id):",
        "if response.status in SUCCESSES and not signed:",
        STATED,
    ),
    Mutant(
        "encoded success passed on",
        UPSTREAM,
        'if find_header(headers, b"content-encoding") is not None:',
        "if False:",
        STATED,
    ),
    Mutant(
        "misdirected request taken for run",
        UPSTREAM,
        "if rejected or response.status == MISDIRECTED:",
        "if rejected:",
        STATED,
    ),
    Mutant(
        "empty failure without a length refused",
        HEADS,
        "self._needs_body = self._unframed and success",
        "self._needs_body = self._unframed",
        STATED,
    ),
    Mutant(
        "answer to a request taken for a call's",
        UPSTREAM,
        "if find_header(response.headers, names.SIGNATURE) is not None:",
        "if False:",
        STATED,
    ),
)
