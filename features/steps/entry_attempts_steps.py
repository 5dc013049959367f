"""Steps for the answer of an entry after several attempts of a request."""

from __future__ import annotations

import asyncio
import itertools
from unittest import mock

from behave import given, then, when

from features.builders_entry import LOOKUP, ORDER, ScriptedEntry
from rosemarydeal.core.requests import Answered, NotServed, OutcomeUnknown
from rosemarydeal.node import entry as entry_module
from rosemarydeal.node.crash_watch import SUSPECT
from rosemarydeal.node.guard import PROCESS_ENDING
from rosemarydeal.node.links import UNREACHABLE
from rosemarydeal.policy.requests.settlement import PEER_LOST

OUTCOMES = {
    "lost on its link": PEER_LOST,
    "cut by an upstream": OutcomeUnknown("send-failed"),
    "timed out": OutcomeUnknown("peer-timeout", timed_out=True),
    "a server error": Answered(500, (), b"an error"),
    "rejected by a process": NotServed("overloaded", 0.2, elsewhere=True),
    "rejected by an upstream": NotServed("upstream-rejected-503", None, True, True),
    "rejected as it ends": PROCESS_ENDING,
    "unreachable": UNREACHABLE,
    "a crash suspect": SUSPECT,
}
# One of each kind that decides differently about a further attempt.
KINDS = (
    "lost on its link",
    "timed out",
    "a server error",
    "rejected by a process",
    "rejected by an upstream",
    "rejected as it ends",
    "unreachable",
)
COUNTS = {"one": 1, "two": 2, "four": 4}
PREFIXES = {"lookup": LOOKUP, "order": ORDER}
# Statuses that promise that a request has not run.
PROMISES = frozenset({408, 421, 429, 503})
SEQUENCE_LENGTH = 4


def may_have_run(outcome):
    """Returns whether an upstream may have run an attempt with this outcome."""
    return not isinstance(outcome, NotServed)


def handle(context, keyed, prefix, sequences):
    """Returns the response and the outcomes of the attempts for each sequence."""
    entry = context.entry = ScriptedEntry(context.count, keyed == "keyed")

    async def handle_all():
        handled = []
        for outcomes in sequences:
            response = await entry.handle(prefix, outcomes)
            handled.append((response, list(entry.sent)))
        return handled

    with (
        mock.patch.object(entry_module, "PARK_STEP_S", 0.0),
        mock.patch.object(entry_module, "_log") as context.log,
    ):
        return asyncio.run(handle_all())


def handle_one(context, keyed, prefix, *names):
    """Has the entry handle a request whose attempts end as named."""
    outcomes = [OUTCOMES[name] for name in names]
    [(context.response, context.sent)] = handle(context, keyed, prefix, [outcomes])


@given("an entry that reaches {count} upstream")
@given("an entry that reaches {count} upstreams")
def step_entry(context, count):
    context.count = COUNTS[count]


@when("the first attempt of a {keyed} lookup ends as {first} and the next as {second}")
def step_two_attempts(context, keyed, first, second):
    handle_one(context, keyed, LOOKUP, first, second)


@when("the only attempt of a {keyed} lookup ends as {name}")
def step_one_attempt(context, keyed, name):
    handle_one(context, keyed, LOOKUP, name)


@when("both attempts of a {keyed} lookup end as {name}")
def step_both_attempts(context, keyed, name):
    handle_one(context, keyed, LOOKUP, name, name)


@when("a {keyed} {kind} meets every sequence of outcomes of its attempts")
def step_all_sequences(context, keyed, kind):
    context.kind = kind
    outcomes = [OUTCOMES[name] for name in KINDS]
    sequences = itertools.product(outcomes, repeat=SEQUENCE_LENGTH)
    # Keyed requests can take more attempts than one sequence has.
    repeated = map(itertools.cycle, sequences)
    context.handled = handle(context, keyed, PREFIXES[kind], repeated)


@then("the caller is answered {status:d} after {attempts:d} attempts")
def step_answered(context, status, attempts):
    assert len(context.sent) == attempts, context.sent
    assert context.response.status == status, context.response.status


@then("the caller is answered {status:d}, without a time to retry, after {n:d} attempt")
@then(
    "the caller is answered {status:d}, without a time to retry, after {n:d} attempts"
)
def step_answered_without_time(context, status, n):
    step_answered(context, status, n)
    names = [name for name, _ in context.response.headers]
    assert b"retry-after" not in names, names


@then("the outcome is logged and counted as undecided")
def step_recorded(context):
    logged = [call.kwargs["outcome"] for call in context.log.info.call_args_list]
    counted = [c.args[2] for c in context.entry.metrics.count_request.call_args_list]
    assert logged == counted == ["undecided"], (logged, counted)


@then("no answer of the entry's own promises that a request has not run that may have")
def step_no_false_promise(context):
    false = [
        (response.status, sent)
        for response, sent in context.handled
        if response.status in PROMISES and any(map(may_have_run, sent))
    ]
    assert not false, f"{len(false)} of {len(context.handled)}, such as {false[0]}"


@then("each order is sent no more once it may have run")
def step_sent_once(context):
    assert len(context.handled) == len(KINDS) ** SEQUENCE_LENGTH
    if context.kind == "order":
        resent = [
            sent for _, sent in context.handled if any(map(may_have_run, sent[:-1]))
        ]
        assert not resent, f"{len(resent)}, such as {resent[0]}"
