"""Steps for the bench's model of an upstream and its arrivals."""

from __future__ import annotations

from behave import given, then, when

from bench.harness import (
    FakeUpstream,
    UpstreamSpec,
    VirtualClock,
    poisson_arrivals,
    seeded,
)


def make_upstream(context, spec):
    context.clock = VirtualClock()
    context.upstream = FakeUpstream(context.clock, "box-office-1", "perth-a", spec)
    context.outcomes = {}


def submit(context, label):
    def end(outcome):
        context.outcomes[label] = (str(outcome), context.clock.now)

    return context.upstream.submit(1.0, end)


@given("a bench upstream with {slots:d} slots and {connections:d} connections")
def step_upstream(context, slots, connections):
    make_upstream(context, UpstreamSpec(slots, connections))


@given(
    "a bench upstream with {slots:d} slots and {connections:d} connections "
    "and a cold start of {cold:d} seconds"
)
def step_cold_upstream(context, slots, connections, cold):
    make_upstream(context, UpstreamSpec(slots, connections, cold_s=cold))


@when("{count:d} bench jobs of 1 second arrive at once")
def step_jobs(context, count):
    for label in range(count):
        submit(context, label)
    context.clock.run(10.0)


@when("the bench upstream begins a cold start and {count:d} jobs arrive")
def step_cold_jobs(context, count):
    context.upstream.begin_cold_start()
    step_jobs(context, count)


@when("a running bench job is cancelled while another is queued")
def step_cancel(context):
    job = submit(context, "first")
    submit(context, "second")
    context.clock.run(0.5)
    context.upstream.cancel(job)
    context.clock.run(10.0)


@then("the bench jobs end as {outcomes}")
def step_ends(context, outcomes):
    actual = [context.outcomes[label][0] for label in sorted(context.outcomes)]
    assert actual == outcomes.split(", "), actual


@then("the last bench job ends at {moment:d} seconds")
def step_last(context, moment):
    assert max(when for _, when in context.outcomes.values()) == moment


@then("the bench upstream started {count:d} jobs beyond its cold capacity")
def step_overfed(context, count):
    assert context.upstream.over_capacity_starts == count, (
        context.upstream.over_capacity_starts
    )


@then("the queued bench job ends 1 second later")
def step_waiting(context):
    assert context.outcomes["first"] == ("cancelled", 0.5)
    assert context.outcomes["second"] == ("done", 1.5)


@then("equal seeds give the same {count:d} bench arrivals and another seed others")
def step_arrivals(context, count):
    def draw(seed):
        clock, moments = VirtualClock(), []
        poisson_arrivals(
            clock,
            seeded(seed, "arrivals"),
            lambda now: 10.0,
            100.0,
            lambda: moments.append(clock.now),
        )
        clock.run(100.0)
        return moments[:count]

    assert len(draw(1)) == count
    assert draw(1) == draw(1) != draw(2)
