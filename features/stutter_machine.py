"""State machines that drive the client against an upstream that stutters.

The oracle knows for each attempt what the upstream did with it. The client sees the
bytes only.
"""

from __future__ import annotations

import asyncio
import logging
import re
from collections import Counter

import structlog
from hypothesis import seed
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, precondition, rule

from features.builders_fleet_types import a_routed_request
from features.stutter_plans import Copy, Ending, Place, Plan
from features.stutter_upstream import StutteringUpstream
from rosemarydeal.core.fleet import KeyRange
from rosemarydeal.core.requests import Answered, Failed, Rejected, UpstreamRequest
from rosemarydeal.platform.upstream import GrantRefused, UpstreamCallFailed

__all__ = ["TOTALS", "InsideMachine", "StutterCallsMachine", "StutterMachine"]

TOTALS: Counter = Counter()

# Without a fixed seed, hypothesis derives one from the source of the class, so that
# the drawn runs would depend on its wording.
MACHINE_SEED = 27

TIMEOUT_S = 2.0
# A copy that breaks off can take the bytes of the answer, which is then waited for.
DISTURBED_S = 0.3
# An upstream that is silent is waited for during this time.
SILENT_S = 0.03
# Beyond its time limit, a request may take the time of a busy machine.
HANG_S = 3.0
STATUS_LINE = re.compile(rb"HTTP/1\.[01] [1-5]\d\d")
# Shorter starts of a status line at the end of a body are taken for text.
STATUS_LINE_START = re.compile(rb"HTTP/[1.0-9 ]{0,6}\Z")
STATUS_LINE_BYTES = 12
PROMISES = (408, 421, 429, 503)

# Many of them within the status line or the headers.
CUTS = st.sampled_from([0.0, 0.05, 0.07, 0.1, 0.12, 0.15]) | st.floats(0.0, 0.999)
OFTEN_WHOLE = st.just(1.0) | CUTS
SELDOM = st.sampled_from([False, False, False, True])


def copies_at(*places):
    """Returns a strategy for copies at these places."""
    return st.builds(
        Copy,
        place=st.sampled_from(places),
        source=st.sampled_from([0, 0, 0, 1, 2]),
        share=OFTEN_WHOLE,
        late_rest=st.booleans(),
        pause_before=st.booleans(),
        pause_within=SELDOM,
        elsewhere=SELDOM,
    )


def framed(*places, min_copies=0):
    """Returns the fields of answers whose end is marked, with copies at places."""
    copies = st.lists(copies_at(*places), min_size=min_copies, max_size=2)
    return {
        "framing": st.sampled_from(["length", "length", "chunked"]),
        "copies": copies.map(tuple),
        "ending": st.sampled_from([Ending.KEEP] * 6 + [Ending.CLOSE, Ending.RESET]),
    }


SERVED = {"status": st.sampled_from([200, 200, 200, 201, 500])}
REFUSED = {"status": st.sampled_from([503, 429, 421]), "not_run": st.just(True)}
UNPROVED = {"status": st.sampled_from([503, 429, 408])}
LENGTHS = st.sampled_from([0, 1, 12, 12, 40, 300])
AROUND = framed(Place.BEFORE, Place.AFTER)
UNFRAMED = {
    "framing": st.just("close"),
    "copies": st.lists(copies_at(*Place), max_size=2).map(tuple),
    "stops_after_head": st.sampled_from([False] * 5 + [True]),
    "ending": st.sampled_from([Ending.CLOSE] * 4 + [Ending.RESET]),
}
FAULTY = {
    "body_bytes": LENGTHS,
    "cut": st.sampled_from([True] * 5 + [False]).flatmap(
        lambda whole: st.none() if whole else CUTS
    ),
    "announced": st.sampled_from([False] * 7 + [True]),
    "informational": st.sampled_from([False] * 7 + [True]),
    "works": st.booleans(),
    "pause_within": SELDOM,
    "silent": st.sampled_from([False] * 24 + [True]),
    "unnamed": st.sampled_from([False] * 11 + [True]),
}
FAULTLESS = {"works": st.booleans(), "body_bytes": LENGTHS}
# A connection that ends can carry no copy into the next exchange: many are faultless.
PLANS = st.one_of(
    st.builds(Plan, **FAULTY, **AROUND, **SERVED),
    st.builds(Plan, **FAULTY, **AROUND, **SERVED),
    st.builds(Plan, **FAULTY, **AROUND, **REFUSED),
    st.builds(Plan, **FAULTY, **UNFRAMED, **SERVED),
    st.builds(Plan, **FAULTY, **AROUND, **UNPROVED),
    st.builds(Plan, **FAULTLESS, **SERVED),
    st.builds(Plan, **FAULTLESS, **SERVED),
    st.builds(Plan, **FAULTLESS, **REFUSED),
)
UNFRAMED_PLANS = st.builds(Plan, body_bytes=LENGTHS, **UNFRAMED, **SERVED)
COPY_FIRST_PLANS = st.builds(
    Plan,
    copies=st.tuples(copies_at(Place.BEFORE)),
    works=st.booleans(),
    **SERVED,
)
FIRST_PLANS = st.builds(Plan, unnamed=st.booleans(), **REFUSED) | st.just(Plan())
INSIDE_PLANS = st.builds(Plan, **FAULTY, **framed(*Place, min_copies=1), **SERVED)


@seed(MACHINE_SEED)
class StutterMachine(RuleBasedStateMachine):
    """Sends requests, repeats some of their ids, and cancels some of them."""

    def __init__(self):
        super().__init__()
        structlog.configure(
            wrapper_class=structlog.make_filtering_bound_logger(logging.CRITICAL)
        )
        self.runner = asyncio.Runner()
        self.upstream = None
        self.context = None
        self.ids = []
        self.rejected = []

    @initialize(connections=st.integers(1, 3), echoes_calls=st.booleans())
    def open(self, connections, echoes_calls):
        self.upstream = StutteringUpstream(echoes_calls)
        self.context = self.upstream.client(connections)
        self.client = self.runner.run(self.context.__aenter__())

    @rule(plan=PLANS, again=st.sampled_from([None, None, 0, 0, 1]))
    def request(self, plan, again):
        self.runner.run(self.send(plan, self.an_id(again)))

    @rule(
        entries=st.lists(
            st.tuples(PLANS, st.sampled_from([None, None, 0, 1])),
            min_size=2,
            max_size=4,
        )
    )
    def parallel_requests(self, entries):
        async def go():
            sends = [self.send(plan, self.an_id(again)) for plan, again in entries]
            await asyncio.gather(*sends)

        self.runner.run(go())

    @rule(plan=PLANS, again=st.sampled_from([None, 0]), turns=st.integers(0, 12))
    def cancelled_request(self, plan, again, turns):
        async def go():
            task = asyncio.create_task(self.send(plan, self.an_id(again)))
            for _ in range(turns):
                await asyncio.sleep(0)
            task.cancel()
            results = await asyncio.gather(task, return_exceptions=True)
            if not isinstance(results[0], asyncio.CancelledError) and results[0]:
                raise results[0]

        self.runner.run(go())

    @rule(plan=UNFRAMED_PLANS)
    def request_without_length(self, plan):
        self.runner.run(self.send(plan, self.an_id(None)))

    @rule(first=FIRST_PLANS, plan=COPY_FIRST_PLANS)
    def copy_comes_first(self, first, plan):
        self.runner.run(self.send(first, self.an_id(None)))
        self.runner.run(self.send(plan, self.an_id(None)))

    @rule()
    def idle(self):
        self.runner.run(asyncio.sleep(0.004))

    def an_id(self, again):
        """Returns a new id, or one that was sent before."""
        if again is None or not self.ids:
            self.ids.append(f"r{len(self.ids)}")
            return self.ids[-1]
        return self.ids[-1 - again % len(self.ids)]

    async def send(self, plan, request_id):
        """Sends an attempt of a request and checks its result."""
        attempt = self.upstream.enter(plan)
        limit_s = _limit_s(plan)
        headers = (
            (b"host", b"h.example"),
            (b"request-id", request_id.encode()),
            (b"attempt", b"%d" % attempt.number),
        )
        routed = a_routed_request(request_id, headers=headers)
        request = UpstreamRequest(routed, "i", limit_s)
        try:
            async with asyncio.timeout(limit_s + HANG_S):
                result = await self.client.run(request)
        except TimeoutError as error:
            raise self.failure("the request hangs", attempt, None) from error
        self.check_result(attempt, result)

    def check_result(self, attempt, result):
        """Checks a result against what the upstream did."""
        plan = attempt.plan
        TOTALS[type(result).__name__.lower()] += 1
        TOTALS["timed out"] += getattr(result, "timed_out", False)
        match result:
            case Answered(status, headers, body):
                signature = dict(headers).get(b"response-signature")
                own = attempt.signature if plan.status < 300 else None
                self.expect(status == plan.status, "foreign status", attempt, result)
                merged = _is_merged(attempt) and own is not None
                own_signature = signature == own or (
                    merged and _has_fragment(own, signature)
                )
                self.expect(own_signature, "foreign signature", attempt, result)
                own_body = body == attempt.body
                if not own_body and _unnoticeable(attempt, body):
                    TOTALS["unnoticeable"] += 1
                else:
                    self.expect(own_body, "foreign body", attempt, result)
                promise = status in PROMISES and attempt.ran
                self.expect(not promise, "a promise though it ran", attempt, result)
            case Rejected(status):
                self.expect(not attempt.ran, "rejected though it ran", attempt, result)
                self.expect(status == plan.status, "foreign status", attempt, result)
                self.rejected.append((attempt, result))
            case Failed(sent=sent) if not sent:
                self.expect(not attempt.ran, "not sent though it ran", attempt, result)
                self.rejected.append((attempt, result))
        if attempt.undisturbed and _answerable(plan):
            TOTALS["undisturbed"] += 1
            usual = Rejected if plan.not_run else Answered
            self.expect(isinstance(result, usual), "not answered", attempt, result)

    def expect(self, condition, what, attempt, result):
        if not condition:
            raise self.failure(what, attempt, result)

    def failure(self, what, attempt, result):
        """Returns the error for a result that is wrong, with what was written."""
        entries = [e for e in self.upstream.log if e[0] == attempt.connection]
        log = "\n".join(str(entry) for entry in entries)
        return AssertionError(f"{what}: {attempt}\n{result}\n{log}")

    def teardown(self):
        try:
            if self.context is not None:
                self.runner.run(asyncio.sleep(0.002))
                self.runner.run(self.context.__aexit__(None, None, None))
            for attempt, result in self.rejected:
                self.expect(not attempt.ran, "it ran later", attempt, result)
        finally:
            self.runner.close()


@seed(MACHINE_SEED)
class InsideMachine(StutterMachine):
    """Writes copies within answers whose end is marked, too."""

    @rule(plan=INSIDE_PLANS, again=st.sampled_from([None, 0]))
    def request_with_copies_inside(self, plan, again):
        self.runner.run(self.send(Plan(), self.an_id(None)))
        self.runner.run(self.send(plan, self.an_id(again)))


@seed(MACHINE_SEED)
class StutterCallsMachine(StutterMachine):
    """Makes calls as well, whose answers the upstream copies, too."""

    @rule(
        plan=PLANS,
        call=st.sampled_from(["grant", "grant", "release", "release", "probe"]),
    )
    def call(self, plan, call):
        self.runner.run(self.make_call(plan, call))

    @rule(
        entries=st.lists(
            st.tuples(PLANS, st.sampled_from(["grant", "release", "probe"])),
            min_size=2,
            max_size=3,
        )
    )
    def parallel_calls(self, entries):
        async def go():
            await asyncio.gather(*(self.make_call(*entry) for entry in entries))

        self.runner.run(go())

    @precondition(lambda self: self.ids)
    @rule(
        plan=PLANS,
        call=st.sampled_from(["grant", "release"]),
        turns=st.integers(0, 12),
    )
    def cancelled_call(self, plan, call, turns):
        async def go():
            task = asyncio.create_task(self.make_call(plan, call))
            for _ in range(turns):
                await asyncio.sleep(0)
            task.cancel()
            results = await asyncio.gather(task, return_exceptions=True)
            if not isinstance(results[0], asyncio.CancelledError) and results[0]:
                raise results[0]

        self.runner.run(go())

    async def make_call(self, plan, call):
        """Makes a call and checks that its result is its own."""
        attempt = self.upstream.enter(plan)
        keys = KeyRange(0, 9, "n", "l", attempt.number)
        limit_s = _limit_s(plan)
        try:
            async with asyncio.timeout(limit_s + HANG_S):
                result = await self.call_result(call, keys, limit_s)
        except TimeoutError as error:
            raise self.failure("the call hangs", attempt, call) from error
        TOTALS[f"{call} {'failed' if result is None else 'answered'}"] += 1
        if result is not None:
            own = self.own(call, attempt)
            merged = _is_merged(attempt)
            answering = merged or attempt.answering
            self.expect(answering, "no answer was written", attempt, result)
            taken = str(result or "").encode()
            fragment = merged and _has_fragment(str(own).encode(), taken)
            self.expect(result == own or fragment, "foreign", attempt, result)
        elif attempt.undisturbed and plan.status == 200 and _answerable(plan):
            self.expect(False, "not answered", attempt, result)

    async def call_result(self, call, keys, limit_s):
        """Returns what a call returned, or None if it failed."""
        try:
            match call:
                case "grant":
                    await self.client.grant(keys, "i-1", lambda: 4.0, limit_s)
                    return 200
                case "release":
                    return await self.client.release(keys, limit_s)
                case "probe":
                    path = f"/healthz/{keys.token}"
                    load = await self.client.probe(path, limit_s)
                    return load and load.running
        except GrantRefused:
            return 409
        except UpstreamCallFailed:
            return None

    def own(self, call, attempt):
        """Returns what a call returns if it takes its own answer."""
        match call:
            case "grant":
                return attempt.plan.status
            case "release":
                return f"h-{attempt.number}"
            case "probe":
                return attempt.number


def _limit_s(plan):
    """Returns the time limit of an exchange."""
    if plan.silent:
        return SILENT_S
    return TIMEOUT_S if plan.faultless else DISTURBED_S


def _unnoticeable(attempt, body):
    """Returns whether no client can tell that a body is not the whole one.

    The upstream itself ended a body without a length early and cleanly, or put bytes
    into a body that are too short to be the start of another answer.
    """
    plan, after_head = attempt.plan, attempt.written_after_head
    if STATUS_LINE.search(body):
        return False
    if _is_merged(attempt):
        # The header that states the length may have become another one.
        return body.startswith(attempt.body) or attempt.body.startswith(body)
    match plan.framing:
        case "close":
            missing = plan.status < 300 and not body
            ended = plan.ending is not Ending.RESET
            passed_on = ended and not missing and body == after_head
            return passed_on and not STATUS_LINE_START.search(body)
        case "length":
            return len(body) == plan.body_bytes and after_head.startswith(body)
    return False


def _is_merged(attempt):
    """Returns whether a part of a copy was written into the own head."""
    return any(copy.place is Place.WITHIN_HEAD for copy in attempt.plan.copies)


def _has_fragment(own, taken):
    """Returns whether bytes are the own ones with a fragment of a copy in them.

    The fragment is shorter than a status line, or has made the header another one.
    """
    if not taken:
        return True
    inserted = len(taken) - len(own)
    return 0 <= inserted < STATUS_LINE_BYTES and any(
        taken.startswith(own[:cut]) and taken.endswith(own[cut:])
        for cut in range(len(own) + 1)
    )


def _answerable(plan):
    """Returns whether the client can tell that it has the whole answer."""
    if plan.status in PROMISES and not plan.not_run:
        return False
    if plan.framing == "close":
        return plan.body_bytes > 0 and plan.ending is Ending.CLOSE
    return plan.ending is not Ending.RESET
