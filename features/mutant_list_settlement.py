"""Deliberate defects of the settlement of requests on lost links."""

from __future__ import annotations

from features.mutants import Mutant

__all__ = ["MUTANTS"]

WORLDS = ("-m", "features.run", "features/settlement.feature", "--name", "No request")
LINKS = "rosemarydeal/node/links.py"


def _scenario(name: str) -> tuple[str, ...]:
    """Returns the check of one scenario."""
    return ("-m", "features.run", "features/settlement.feature", "--name", name)


SETTLEMENT = "rosemarydeal/policy/requests/settlement.py"

MUTANTS = (
    Mutant(
        "a late request begun below the fence",
        SETTLEMENT,
        "        if number <= known.fence:\n",
        "        if False:\n",
        WORLDS,
    ),
    Mutant(
        "a fence that falls again",
        SETTLEMENT,
        "known.fence = max(known.fence, fence)",
        "known.fence = fence if fence % 2 else 0",
        WORLDS,
    ),
    Mutant(
        "a request stated as never begun and not withdrawn",
        SETTLEMENT,
        "                permit.end()\n                never",
        "                never",
        WORLDS,
    ),
    Mutant(
        "a withdrawn request begun",
        SETTLEMENT,
        "        if self._state is _State.ENDED:\n            return False\n",
        "",
        WORLDS,
    ),
    Mutant(
        "a request that began not noted",
        SETTLEMENT,
        "self._sender.note_begun(self._number)",
        "self._sender.waiting.pop(self._number, None)",
        WORLDS,
    ),
    Mutant(
        "a request that began and was forgotten stated as never begun",
        SETTLEMENT,
        "elif known.forgotten < number <= known.fence:",
        "elif number <= known.fence:",
        WORLDS,
    ),
    Mutant(
        "the highest number that was forgotten not kept",
        SETTLEMENT,
        "sender.forgotten = max(sender.forgotten, oldest)",
        "sender.forgotten = 0",
        WORLDS,
    ),
    Mutant(
        "another process asked than the one that was sent the request",
        SETTLEMENT,
        "if r.receiver == receiver)",
        "if r.node)",
        WORLDS,
    ),
    Mutant(
        "a sender without a name or above the limit believed to be known",
        SETTLEMENT,
        "return Statement((), ())",
        "return Statement(tuple(numbers), ())",
        WORLDS,
    ),
    Mutant(
        "a request of a process that was replaced held",
        SETTLEMENT,
        "if r.node == node and r.receiver != receiver",
        "if False",
        WORLDS,
    ),
    Mutant(
        "a request begun without its permit",
        "rosemarydeal/node/guard.py",
        "if active.permit is not None and not active.permit.try_begin():",
        "if False:",
        _scenario("A guard begins"),
    ),
    Mutant(
        "a request that arrives late served",
        LINKS,
        "permit = self._received.receive(connection.process, number)",
        'permit = self._received.receive("", number)',
        _scenario("An order that was on its way"),
    ),
    Mutant(
        "a question without a fence",
        LINKS,
        "SettleRequests(numbers, self._last_number)",
        "SettleRequests(numbers, 0)",
        _scenario("An order that was on its way"),
    ),
    Mutant(
        "the process of a former link taken for that of the present one",
        "rosemarydeal/node/link.py",
        '        self.process = ""\n        self.heard = False\n        self.leaving',
        "        self.heard = False\n        self.leaving",
        _scenario("An order that waits"),
    ),
    Mutant(
        "the outcome of a lost request held for ever",
        "rosemarydeal/node/held_outcomes.py",
        "loop.call_at(until, self._give_up",
        "loop.call_at(until + 60.0, self._give_up",
        _scenario("An order is undecided in time"),
    ),
)
