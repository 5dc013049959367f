import asyncio

from behave import given, then, when
from hypothesis import given as given_values
from hypothesis import settings
from hypothesis import strategies as st

from features.builders_platform import client_of, records_of, running_platform
from rosemarydeal.objects import PlatformConflict, PlatformUnavailable, budget

WATCHED_KEYS = (
    "config/current",
    "members/box-office-1",
    "operator/upstreams",
    "operator/zones",
    "slices/box-office/0",
)


@given("a stand-in platform and a client of it")
def step_platform(context):
    def run(scenario):
        async def run_with_platform():
            async with running_platform() as platform:
                client = client_of(platform)
                try:
                    return await scenario(platform, client)
                finally:
                    await client.close()

        return asyncio.run(run_with_platform())

    context.run = run


async def outcome_of(write):
    try:
        return await write
    except (PlatformConflict, PlatformUnavailable) as error:
        return error.code


@when("two operators write the same object from the same version")
def step_race(context):
    async def scenario(platform, client):
        writes = [client.put("config/current", b"%d" % n, 0, f"w{n}") for n in (1, 2)]
        return await asyncio.gather(*[outcome_of(w) for w in writes])

    context.outcomes = context.run(scenario)


@then("one write succeeds and the other is a conflict")
def step_one_wins(context):
    assert sorted(map(str, context.outcomes)) == ["1", "platform_conflict"]


@when("the response to a write is lost after the write took effect")
def step_lost_answer(context):
    async def scenario(platform, client):
        platform.faults.lose_write_answers = 1
        version = await client.put("config/current", b"x", 0, "change-1")
        return version, platform.calls["PUT"], platform.store.revision

    context.outcomes = context.run(scenario)


@then("the client reports that its write took effect")
def step_took_effect(context):
    version, puts, revision = context.outcomes
    assert (version, puts, revision) == (1, 1, 1)


@when("the platform is down during a write and recovers")
def step_outage(context):
    async def scenario(platform, client):
        await client.put("a", b"1", 0, "first")
        await platform.stop()
        during = await outcome_of(client.put("a", b"2", 1, "second"))
        await platform.start()
        return during, await client.get("a")

    context.outcomes = context.run(scenario)


@then("the write during the outage is reported as unavailable")
def step_unavailable(context):
    assert context.outcomes[0] == "platform_unavailable"


@then("the earlier write is still there")
def step_still_there(context):
    stored = context.outcomes[1]
    assert (stored.version, stored.value) == (1, b"1")


@when("an object changes while a client watches")
def step_watch(context):
    async def scenario(platform, client):
        await client.put("zones/a", b"1", 0, "first")
        idle = await client.watch(("operator/",), platform.store.revision, 0.01)
        waiting = asyncio.create_task(
            client.watch(("zones/", "slices/"), idle.revision, 20.0)
        )
        await client.put("other", b"1", 0, "other")
        await client.put("zones/a", b"2", 1, "second")
        return idle, await waiting

    context.outcomes = context.run(scenario)


@when("a process watches a platform that keeps old configurations")
def step_watch_all(context):
    async def scenario(platform, client):
        await client.put("config/history/000001", b"1", 0, "history-1")
        for number, key in enumerate(WATCHED_KEYS):
            await client.put(key, b"x", 0, f"followed-{number}")
        records = records_of(client)
        all_received, update_received = asyncio.Event(), asyncio.Event()
        received = []

        def on_object(stored):
            received.append((stored.key, stored.version))
            if len(received) == len(WATCHED_KEYS):
                all_received.set()
            if stored.version == 2:
                update_received.set()

        records.subscribe(on_object)
        watch_task = asyncio.create_task(records.run())
        async with asyncio.timeout(20.0):
            await all_received.wait()
            calls = platform.calls["GET"]
            await client.put("config/history/000002", b"2", 0, "history-2")
            await client.put("config/current", b"y", 1, "current-2")
            await update_received.wait()
        watch_task.cancel()
        await asyncio.gather(watch_task, return_exceptions=True)
        return received, platform.calls["GET"] - calls

    context.outcomes = context.run(scenario)


@then("it receives every object in force but no history, in one call at a time")
def step_only_watched_keys(context):
    received, calls = context.outcomes
    assert sorted(received[:-1]) == sorted((key, 1) for key in WATCHED_KEYS), received
    assert received[-1] == ("config/current", 2), received
    assert calls <= 2, calls


@then("the watch delivers the change with its version")
def step_delivered(context):
    idle, changes = context.outcomes
    assert idle.objects == ()
    assert [(o.key, o.version, o.value) for o in changes.objects] == [
        ("zones/a", 2, b"2")
    ]


@then("a call budget never allows more calls than its rate and burst")
def step_budget(context):
    @settings(derandomize=True, max_examples=200, deadline=None)
    @given_values(
        st.floats(0.1, 100), st.floats(1, 50), st.lists(st.floats(0, 5), max_size=60)
    )
    def check(rate, burst, gaps):
        bucket = budget.start(rate, burst, 0.0)
        now = 0.0
        starts = []
        for gap in gaps:
            now += gap
            bucket, wait = budget.take(bucket, now)
            now += wait
            starts.append(now)
        for first, begin in enumerate(starts):
            for last, end in enumerate(starts[first:], first):
                allowed = burst + rate * (end - begin) + 1e-6
                assert last - first + 1 <= allowed + 1

    check()
