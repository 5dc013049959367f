import json
from dataclasses import replace

from behave import then
from hypothesis import given, settings
from hypothesis import strategies as st

from features.builders_rate_limit import captured_logs
from rosemarydeal.core import UPSTREAMS_KEY, ZONES_KEY, NodeStatus, Versioned
from rosemarydeal.daemon.operators import OperatorExclusions, adopt_exclusions
from rosemarydeal.policy.alarms import HOLD_S, AlarmState, alarms, observe

HEALTHY = NodeStatus(
    "box-office-1",
    config_version=3,
    lease_valid=True,
    upstream_up=True,
    platform_reachable=True,
    running=3,
    limit=12,
)
FAULTS = {
    "no-configuration": {"config_version": 0},
    "platform-unreachable": {"platform_reachable": False},
    "upstream-down": {"upstream_up": False},
    "no-lease": {"lease_valid": False},
    "overloaded": {"running": 12, "queued": 1},
    "crash-suspects": {"suspects": (7,)},
}


@then("each alarm is raised exactly while its condition has held for its hold time")
def step_alarms(context):
    assert set(FAULTS) == set(HOLD_S)

    @settings(derandomize=True, max_examples=150, deadline=None)
    @given(
        st.lists(
            st.tuples(st.sets(st.sampled_from(sorted(FAULTS))), st.integers(1, 20)),
            max_size=8,
        )
    )
    def check(phases):
        state, now = AlarmState(), 0.0
        began = {}
        for codes, seconds in phases:
            changes = {k: v for code in codes for k, v in FAULTS[code].items()}
            status = replace(HEALTHY, **changes)
            present = codes - ({"no-lease"} if "upstream-down" in codes else set())
            began = {code: began.get(code, now) for code in present}
            for _ in range(seconds):
                state = observe(state, status, now)
                raised = {alarm.code: alarm.since_s for alarm in alarms(state, now)}
                assert raised == {
                    code: now - since
                    for code, since in began.items()
                    if now - since >= HOLD_S[code]
                }
                now += 1.0

    check()


@then("no alarm is raised by a healthy process at any time")
def step_healthy(context):
    state = AlarmState()
    for second in range(100):
        state = observe(state, HEALTHY, float(second))
        assert alarms(state, float(second)) == ()


def operators_object(key, names):
    """Returns the content of an operators' object."""
    if key == ZONES_KEY:
        entry = [{"availability_zone": n, "operator": "e", "time": "t"} for n in names]
        return json.dumps({"out": entry}).encode()
    entry = [{"upstream": n, "operator": "e", "time": "t"} for n in names]
    return json.dumps({"draining": entry}).encode()


@then("operators' orders in force are those of the highest readable version")
def step_orders(context):
    names = st.sets(st.sampled_from(["a", "b", "c"]))
    keys = st.sampled_from([ZONES_KEY, UPSTREAMS_KEY, "config/current"])

    @settings(derandomize=True, max_examples=150, deadline=None)
    @given(st.lists(st.tuples(keys, st.integers(1, 9), names | st.none()), max_size=9))
    def check(reads):
        orders = OperatorExclusions()
        expected = {ZONES_KEY: (0, frozenset()), UPSTREAMS_KEY: (0, frozenset())}
        for key, version, wanted in reads:
            value = b"{" if wanted is None else operators_object(key, wanted)
            orders = adopt_exclusions(orders, Versioned(key, version, value))
            if key in expected and wanted is not None and version > expected[key][0]:
                expected[key] = (version, frozenset(wanted))
        adopted = {item.key: item.version for item in orders.versions}
        assert adopted == {key: version for key, (version, _) in expected.items()}
        assert orders.zones.names == expected[ZONES_KEY][1]
        assert orders.upstreams.names == expected[UPSTREAMS_KEY][1]

    with captured_logs() as logs:
        check()
    assert {entry["event"] for entry in logs} == {"operators_object_malformed"}
