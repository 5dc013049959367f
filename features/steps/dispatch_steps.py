"""Steps for the dispatch queue, retries and the choice of an upstream."""

from __future__ import annotations

import random
from bisect import bisect_right
from collections import Counter

from behave import given, then, when

from features.builders_fleet_types import a_queue, a_queued_request, a_route
from rosemarydeal.core.fleet import Bounds
from rosemarydeal.core.requests import Answered, NotServed, OutcomeUnknown
from rosemarydeal.policy import claimed_suspects
from rosemarydeal.policy.dispatch.cold_start import ColdStartLimiter
from rosemarydeal.policy.dispatch.crash_suspects import (
    KnownSuspects,
    SuspectRecord,
    SuspectStatus,
)
from rosemarydeal.policy.dispatch.lost_runs import LostRun, LostRuns
from rosemarydeal.policy.dispatch.queue import Admission, Reject, Start
from rosemarydeal.policy.dispatch.retry_budget import RetryBudget
from rosemarydeal.policy.requests import attempts
from rosemarydeal.policy.routing.choice import (
    Candidate,
    RequestProfile,
    choose,
    shortlist,
)
from rosemarydeal.policy.routing.route_index import choose_service

OUTCOMES = {
    "lost after sending": OutcomeUnknown("send-failed"),
    "rejected by upstream": NotServed("upstream-rejected-503", None, True, True),
    "rejected by a process": NotServed("overloaded", 0.2, elsewhere=True),
    "a server error": Answered(500, (), b""),
    "timed out": OutcomeUnknown("upstream-timeout", timed_out=True),
}
SERVICE_TIMES = {"lookup": 0.2, "order": 0.2}
STEP_S = 0.005


@given("a queue of {slots:d} slot whose lookups and orders run for {seconds:f} seconds")
def step_queue_both(context, slots, seconds):
    times = {"lookup": seconds, "order": seconds}
    context.queue = a_queue(slots, times)


@given("a queue of {slots:d} slots whose {route}s run for {seconds:f} seconds")
@given("a queue of {slots:d} slot whose {route}s run for {seconds:f} seconds")
def step_queue(context, slots, route, seconds):
    context.service_s = seconds
    context.queue = a_queue(slots, {route: seconds})


@given("a queue whose upstream owns no key")
def step_ownerless(context):
    context.queue = a_queue(2, {}, admits=lambda key: Admission.ELSEWHERE)


@given(
    "a queue of {slots:d} slots with a cold upstream"
    " limited to {rate:d} requests a second"
)
def step_cold(context, slots, rate):
    cold = ColdStartLimiter()
    cold.set_cold(100.0, rate)
    context.service_s = 0.05
    context.queue = a_queue(slots, {"lookup": 0.05}, cold=cold)


@when("a lookup runs and lookup 2 and order 3 wait")
def step_two_wait(context):
    context.queue.offer(a_queued_request(1, 0.0), 0.0)
    context.queue.offer(a_queued_request(2, 0.01), 0.01)
    context.queue.offer(a_queued_request(3, 0.02, "order", rank=1), 0.02)
    context.decisions = context.queue.finish(1, 0.2, True)


@when("a lookup runs and lookup 2 with {left:f} seconds left arrives")
def step_second(context, left):
    context.queue.offer(a_queued_request(1, 0.0, time_left_s=30.0), 0.0)
    second = a_queued_request(2, 0.0, target_s=left, time_left_s=left)
    context.decisions = context.queue.offer(second, 0.0)


@when("lookup 1 with {left:f} seconds left arrives")
def step_first(context, left):
    context.decisions = context.queue.offer(
        a_queued_request(1, 0.0, time_left_s=left), 0.0
    )


@when("lookup 1 for key {key:d} arrives")
def step_keyed(context, key):
    context.decisions = context.queue.offer(a_queued_request(1, 0.0, key=key), 0.0)


@when("{rate:d} lookups a second with a target of {target:f} s arrive for {s:d} s")
def step_burst(context, rate, target, s):
    """Simulates the load in virtual time with a fixed service time."""
    now, number = 0.0, 0
    arrived, ends_at = {}, {}
    context.latencies, context.rejection_delays, context.starts = [], [], []
    context.target, context.span, busy = target, float(s), 0.0

    def apply(decisions):
        for decision in decisions:
            match decision:
                case Start(n):
                    ends_at[n] = now + context.service_s
                    context.starts.append(now)
                case Reject(n):
                    context.rejection_delays.append(now - arrived[n])

    while now < s:
        for n in [n for n, end in ends_at.items() if end <= now]:
            del ends_at[n]
            context.latencies.append(now - arrived[n])
            apply(context.queue.finish(n, now, True))
        while number < now * rate:
            number += 1
            arrived[number] = now
            request = a_queued_request(number, now, target_s=target)
            apply(context.queue.offer(request, now))
        apply(context.queue.advance(now))
        busy += context.queue.running * STEP_S
        now += STEP_S
    context.busy = busy / (context.queue.slots * s)


@then("order 3 runs next")
def step_order_next(context):
    assert context.decisions == [Start(3)], context.decisions


@then("at least {percent:d} percent of the answers are in time")
def step_in_time(context, percent):
    in_time = sum(1 for seconds in context.latencies if seconds <= context.target)
    share = 100 * in_time / len(context.latencies)
    assert share >= percent, share


@then("the slots are busy at least {percent:d} percent of the time")
def step_busy(context, percent):
    assert 100 * context.busy >= percent, context.busy


@then(
    "a rejection takes less than {seconds:f} seconds for at least {percent:d} percent"
)
def step_rejection_delays(context, seconds, percent):
    assert context.rejection_delays
    quick = sum(1 for delay in context.rejection_delays if delay < seconds)
    share = 100 * quick / len(context.rejection_delays)
    assert share >= percent, share


@then("lookup {number:d} is rejected as overloaded")
def step_overloaded(context, number):
    (rejected,) = context.decisions
    assert rejected.number == number
    assert rejected.outcome.code == "overloaded"


@then("lookup {number:d} runs")
def step_runs(context, number):
    assert context.decisions == [Start(number)], context.decisions


@then("lookup {number:d} waits")
def step_waits(context, number):
    assert context.decisions == [], context.decisions


@then("lookup {number:d} is redirected")
def step_redirected(context, number):
    (rejected,) = context.decisions
    assert rejected.number == number and rejected.outcome.elsewhere


@then("no second has more than {limit:d} starts")
def step_seconds(context, limit):
    starts = sorted(context.starts)
    assert starts
    for index, moment in enumerate(starts):
        within = bisect_right(starts, moment + 1.0) - index
        assert within <= limit, (moment, within)


@then("{n:d} processes of ratio {ratio:f} and slack {slack:d} stay in budget")
def step_budget(context, n, ratio, slack):
    bounds = Bounds(retry_ratio=ratio, retry_slack=float(slack), retry_window_s=10.0)
    budgets = [RetryBudget(bounds) for _ in range(n)]
    taken = []
    for tick in range(3000):
        moment = tick * 0.01
        for budget in budgets:
            if tick % 4 == 0:
                budget.record_request(moment)
            if budget.try_spend(moment, n, attempts.REJECTED_BUDGET_SHARE):
                taken.append(moment)
    for start in range(20):
        window = [t for t in taken if start <= t < start + 10]
        requests = n * 25 * 10
        assert 0 < len(window) <= ratio * requests + slack


@then(
    "{n:d} processes of ratio {ratio:f} and slack {slack:d} that start again each"
    " {seconds:d} seconds stay in budget"
)
def step_budget_restarts(context, n, ratio, slack, seconds):
    bounds = Bounds(retry_ratio=ratio, retry_slack=float(slack), retry_window_s=10.0)
    budgets = [RetryBudget(bounds) for _ in range(n)]
    taken, requests = [], []
    for tick in range(4000):
        moment = tick * 0.01
        if tick and tick % (seconds * 100) == 0:
            # The processes start again in turn; the others go on.
            budgets[tick // (seconds * 100) % n] = RetryBudget(bounds, moment)
        for budget in budgets:
            if tick % 100 == 0:
                budget.record_request(moment)
                requests.append(moment)
            if budget.try_spend(moment, n, 1.0):
                taken.append(moment)
    for start in range(30):
        window = [t for t in taken if start <= t < start + 10]
        owed = [t for t in requests if start <= t < start + 10]
        assert 0 < len(window) <= ratio * len(owed) + slack, (start, len(window))


def a_crash(known, incarnation, exclusive=(), beside=(), moment=1.0):
    """Charges a crash to requests that ran in turn, and to others beside them."""
    records = [SuspectRecord(f, (incarnation,), exclusive=True) for f in exclusive]
    records += [SuspectRecord(f, (incarnation,)) for f in beside]
    known.merge(records, moment)


@given("a request that was running at three crashes, at the last as the only suspect")
def step_blocked(context):
    context.known = KnownSuspects()
    a_crash(context.known, "i-1@1", beside=("bad", "popular", "good"))
    context.known.note_answer("good", 1.5)
    a_crash(context.known, "i-2@1", beside=("bad", "popular", "good"), moment=2.0)
    a_crash(context.known, "i-3@1", ("bad",), ("popular", "good"), moment=5.0)


@then("the crash suspect is rejected")
def step_suspect_rejected(context):
    assert context.known.status("bad", 6.0) is SuspectStatus.BLOCKED


@then("a request that was answered after the first crash is not")
def step_cleared_served(context):
    assert context.known.status("good", 6.0) is SuspectStatus.SUSPECT


@then("one that ran beside other suspects at all three crashes runs in its turn")
def step_popular_served(context):
    assert context.known.status("popular", 6.0) is SuspectStatus.SUSPECT


@given("a request that was running at two crashes, which three processes report")
def step_reported(context):
    context.known = KnownSuspects()
    for moment in (1.0, 2.0, 3.0):
        a_crash(context.known, "i-1@1", ("bad",), moment=moment)
        a_crash(context.known, "i-2@1", ("bad",), moment=moment)


@then("the request runs in its turn")
def step_in_turn(context):
    assert context.known.status("bad", 4.0) is SuspectStatus.SUSPECT


@when("it comes every {period:d} seconds for {minutes:d} minutes")
def step_keeps_coming(context, period, minutes):
    moments = range(6, 6 + 60 * minutes, period)
    context.statuses = []
    for moment in moments:
        context.statuses.append(context.known.status("bad", moment))
        context.known.note_rejected("bad", moment)
    context.last_at = moments[-1]


@then("it is rejected each time")
def step_rejected_each_time(context):
    assert set(context.statuses) == {SuspectStatus.BLOCKED}, context.statuses


@then("it may run again {minutes:d} minutes after it came last")
def step_runs_again(context, minutes):
    until = context.last_at + 60 * minutes
    assert context.known.status("bad", until) is SuspectStatus.BLOCKED
    assert context.known.status("bad", until + 1.0) is SuspectStatus.CLEAR


@when("another process is sent the records")
def step_shared(context):
    records = context.known.shared_records(6.0)
    context.other = KnownSuspects()
    context.other.merge(records, 100.0)


@then("that process rejects the request")
def step_other_rejects(context):
    assert context.other.status("bad", 101.0) is SuspectStatus.BLOCKED
    assert context.other.status("popular", 101.0) is SuspectStatus.SUSPECT


@given("a process that answered a suspect, and a peer that still knows the crash")
def step_cleared_here(context):
    context.known, context.other = KnownSuspects(), KnownSuspects()
    for known in (context.known, context.other):
        a_crash(known, "i-1@1", ("f",))
    context.cleared = context.known.note_answer("f", 1.5)
    assert context.cleared == ("i-1@1",), context.cleared


@when("the peer sends its records, before and after it is told of the clearance")
def step_sent_again(context):
    records = context.other.shared_records(2.0)
    context.known.merge(records, 2.0)
    context.other.clear("f", context.cleared, 2.0)
    for known in (context.known, context.other):
        known.merge(records, 2.5)


@then("the request is clear at both")
def step_clear_at_both(context):
    for known in (context.known, context.other):
        assert known.status("f", 3.0) is SuspectStatus.CLEAR


@then("with its next crash it is a suspect at both and takes {count:d} answers")
def step_next_crash(context, count):
    for known in (context.known, context.other):
        a_crash(known, "i-2@1", ("f",), moment=3.0)
        for _number in range(count):
            assert known.status("f", 4.0) is SuspectStatus.SUSPECT
            known.note_answer("f", 4.0)
        assert known.status("f", 4.0) is SuspectStatus.CLEAR


@then("with a crash a minute later it takes one answer")
def step_minute_later(context):
    for known in (context.known, context.other):
        a_crash(known, "i-3@1", ("f",), moment=65.0)
        assert known.status("f", 65.0) is SuspectStatus.SUSPECT
        known.note_answer("f", 65.0)
        assert known.status("f", 65.0) is SuspectStatus.CLEAR


@given("{count:d} requests that were each cleared of {crashes:d} crashes")
def step_many_cleared(context, count, crashes):
    context.known = KnownSuspects()
    incarnations = [f"i-{number}@1" for number in range(crashes)]
    for number in range(count):
        context.known.clear(f"f{number}", incarnations, 1.0)


@then("the process keeps {kept:d} clearances of {crashes:d} crashes")
def step_keeps_cleared(context, kept, crashes):
    counts = [len(cleared.crashes) for cleared in context.known._cleared.values()]
    assert counts == [crashes] * kept, (len(counts), set(counts))


@then("after {seconds:d} seconds it keeps no clearance")
def step_keeps_no_clearance(context, seconds):
    context.known.expire(1.0 + seconds)
    assert not context.known._cleared


@given("runs that an upstream lost, and an answer to a request that it was sent later")
def step_lost(context):
    context.lost = LostRuns()
    for name, moment in (("reset", 1.0), ("crashed", 3.0)):
        context.lost.add(LostRun(name, "i-1@1", False, moment))
    context.lost.add(LostRun("elsewhere", "i-2@1", False, 3.0))
    context.lost.note_answer("i-1@1", sent_at=2.0)


@when("the upstream ends")
def step_upstream_ends(context):
    context.charged = context.lost.take("i-1@1", 4.0)


@then("only the runs that were lost after that are charged")
def step_charged(context):
    assert [run.fingerprint for run in context.charged] == ["crashed"]
    assert not context.lost.take("i-1@1", 4.0)
    assert [run.fingerprint for run in context.lost.take("i-2@1", 4.0)] == ["elsewhere"]


@given(
    "{count:d} requests that ran when upstreams crashed, the last of them at three",
)
def step_many_suspects(context, count):
    context.known = KnownSuspects()
    for number in range(count):
        a_crash(context.known, "i-1@1", beside=(f"f{number}",))
    context.fingerprint = f"f{count - 1}"
    for incarnation in ("i-2@1", "i-3@1"):
        a_crash(context.known, incarnation, (context.fingerprint,))


@then("the process keeps {kept:d} of them and rejects the last")
def step_keeps(context, kept):
    known = context.known
    assert known.count + known.blocked_count == kept, known.count
    assert known.status(context.fingerprint, 2.0) is SuspectStatus.BLOCKED


@then("after {seconds:d} seconds it keeps only the one that it rejects")
def step_keeps_one(context, seconds):
    known = context.known
    known.expire(1.0 + seconds)
    assert (known.count, known.blocked_count) == (0, 1)


@then("after {seconds:d} seconds it rejects none of them and keeps none")
def step_expired(context, seconds):
    assert (
        context.known.status(context.fingerprint, 1.0 + seconds) is SuspectStatus.CLEAR
    )
    assert not context.known.any


@given("{count:d} claims of crash suspects by another process")
def step_claims(context, count):
    context.suspects = claimed_suspects.ClaimedSuspects()
    for number in range(count):
        context.suspects, _ = claimed_suspects.claim(
            context.suspects, "box-office", "vm-b", number, 1.0
        )
    assert len(context.suspects.claims) == count


@then("after {seconds:d} seconds no claim is kept")
def step_claims_ended(context, seconds):
    expired = claimed_suspects.expire(context.suspects, 1.0 + seconds, 60.0)
    assert not expired.claims, len(expired.claims)


@given("an idempotent request with a limit of {limit:d} attempts")
def step_idempotent(context, limit):
    context.attempts = attempts.Attempts(True, limit)


@given("a non-idempotent request with a limit of {limit:d} attempts")
def step_non_idempotent(context, limit):
    context.attempts = attempts.Attempts(False, limit)


@when("an attempt ends as {outcome}")
@when("the next attempt ends as {outcome}")
def step_attempt_ends(context, outcome):
    context.outcome = OUTCOMES[outcome]
    context.retry = attempts.decide_retry(context.attempts, context.outcome, False)
    if context.retry is not None:
        context.attempts = context.retry.attempts


@then("the request is retried")
def step_retried(context):
    assert isinstance(context.retry, attempts.Retry)


@then("the request is ended as {expected}")
def step_ended(context, expected):
    assert context.retry is None
    label, _ = attempts.outcome_labels(
        attempts.final_outcome(context.attempts, context.outcome)
    )
    assert label == expected, label


@then("the outcome for the caller is unknown")
def step_undecided(context):
    final = attempts.final_outcome(context.attempts, context.outcome)
    assert isinstance(final, OutcomeUnknown), final


@then("{n:d} processes with {count:d} requests each are within {error:f} of 90 to 10")
def step_shares(context, n, count, error):
    route = a_route(("x", 90), ("y", 10))
    chosen = [
        choose_service(route, (seed * 0.377) % 1.0, number)
        for seed in range(n)
        for number in range(count)
    ]
    assert abs(chosen.count("x") / len(chosen) - 0.9) <= error


@given(
    "lookups of {work:f} seconds with a target of {target:f} seconds and long answers"
)
def step_profile(context, work, target):
    context.profile = RequestProfile(work, target, 5000.0)


def choose_of_two(context, near_slowdown, far_slowdown, near_failure_share=0.0):
    near = Candidate("near", True, 12, 2, 2, near_slowdown, near_failure_share)
    far = Candidate("far", False, 12, 2, 2, far_slowdown, 0.0)
    return choose([near, far], context.profile, 0.5)


@then(
    "a nearby upstream of slowdown {near:f}"
    " goes before a remote one of slowdown {far:f}"
)
def step_near(context, near, far):
    assert choose_of_two(context, near, far) == "near"


@then(
    "a nearby upstream of slowdown {near:f} goes after a remote one of slowdown {far:f}"
)
def step_far(context, near, far):
    assert choose_of_two(context, near, far) == "far"


@then(
    "a nearby upstream whose rate limit delays requests by {delay:f} s"
    " goes after a remote one"
)
def step_near_limited(context, delay):
    near = Candidate("near", True, 12, 2, 2, 1.0, 0.0, limit_delay_s=delay)
    far = Candidate("far", False, 12, 2, 2, 1.0, 0.0)
    assert choose([near, far], context.profile, 0.5) == "far"
    near = Candidate("near", True, 12, 2, 2, 1.0, 0.0)
    assert choose([near, far], context.profile, 0.5) == "near"


@then("a nearby upstream that fails its requests goes after a remote one")
def step_failing(context):
    assert choose_of_two(context, 1.0, 1.0, near_failure_share=0.8) == "far"


@given("{count:d} upstreams in 3 zones of which one was free when loads were reported")
def step_stale_loads(context, count):
    context.upstreams = [(f"n{i}", i % 3, 0 if i == 4 else 2) for i in range(count)]


@when("{processes:d} processes choose for {requests:d} requests each by these loads")
def step_choose_stale(context, processes, requests):
    profile = RequestProfile(0.055, 0.2, 700.0)
    context.chosen = Counter(
        dict.fromkeys((name for name, _, _ in context.upstreams), 0)
    )
    for process in range(processes):
        rng = random.Random(process)
        candidates = [
            Candidate(name, zone == process % 3, 9, 0, load, 1.0, 0.0)
            for name, zone, load in context.upstreams
        ]
        for _ in range(requests):
            near = [upstream for upstream in candidates if upstream.same_zone]
            far = [upstream for upstream in candidates if not upstream.same_zone]
            shortlisted = shortlist(near, far, rng)
            context.chosen[choose(shortlisted, profile, rng.random())] += 1


@then("no upstream is chosen more than {factor:d} times as often as the mean")
def step_not_herded(context, factor):
    mean = sum(context.chosen.values()) / len(context.chosen)
    assert max(context.chosen.values()) <= factor * mean, context.chosen


@then("each upstream is chosen")
def step_each_chosen(context):
    assert min(context.chosen.values()) > 0, context.chosen


@given("an upstream whose slots and queue are full")
def step_full(context):
    context.queue = a_queue(slots=1, service_s={"lookup": 0.5})
    for number in range(8):
        context.queue.offer(
            a_queued_request(number, 0.0, target_s=5.0, time_left_s=6.0), 0.0
        )


def rejection_of(queue, number, key):
    request = a_queued_request(number, 0.0, target_s=5.5, time_left_s=2.0, key=key)
    (rejected,) = queue.offer(request, 0.0)
    assert isinstance(rejected, Reject), rejected
    return rejected.outcome


@when("a lookup for a key arrives that would miss its deadline")
def step_keyed_rejected(context):
    context.rejected = rejection_of(context.queue, 100, key=7)


@then("it is rejected and not retried by its process")
def step_not_retried(context):
    history = attempts.Attempts(True, 2)
    assert attempts.decide_retry(history, context.rejected, keyed=True) is None, (
        context.rejected
    )


@then("a lookup without a key is retried at another upstream")
def step_offered(context):
    history = attempts.Attempts(True, 2)
    rejected = rejection_of(context.queue, 101, key=None)
    assert attempts.decide_retry(history, rejected, keyed=False) is not None, rejected


def choose_joined(context, slowdown, untried):
    joined = Candidate("joined", False, 12, 0, 0, slowdown, 0.0, untried)
    near = Candidate("near", True, 12, 2, 2, 1.0, 0.0)
    return choose([joined, near], context.profile, 0.5)


@then("an untried remote upstream of slowdown {slowdown:f} goes before a nearby one")
def step_untried(context, slowdown):
    assert choose_joined(context, slowdown, True) == "joined"


@then("a tried remote upstream of slowdown {slowdown:f} goes after a nearby one")
def step_tried(context, slowdown):
    assert choose_joined(context, slowdown, False) == "near"
