"""Steps for configurations with thousands of routes."""

from __future__ import annotations

import copy
import json

from behave import given, then, when
from hypothesis import HealthCheck, settings
from hypothesis import given as given_values
from hypothesis import strategies as st

from features.builders_fleet_types import a_route
from features.builders_node import HOST, a_configuration
from rosemarydeal.core.fleet import CallerLimits, Configuration
from rosemarydeal.platform.errors import Unreadable
from rosemarydeal.platform.operator import ConfigurationDecoder, decode_configuration
from rosemarydeal.policy.routing.route_index import RouteIndex

PARTS = st.lists(st.sampled_from(["a", "b", "ab"]), max_size=4)


def encode(configuration):
    return json.dumps(configuration).encode()


@given("the decoded configuration of {count:d} routes")
def step_large(context, count):
    context.written = a_configuration()
    first, *others = context.written["resources"]
    routes = []
    for number in range(count - 1):
        route = copy.deepcopy(first)
        route["metadata"]["name"] = f"route-{number}"
        route["spec"]["path_prefix"] = f"/route-{number:04}/"
        routes.append(route)
    context.written["resources"] = [*routes, *others]
    context.decoder = ConfigurationDecoder()
    context.before = context.decoder.decode(encode(context.written))


@when("a version adds a route, drops one and changes the time of another")
def step_version(context):
    routes = context.written["resources"]
    added = copy.deepcopy(routes[0])
    added["metadata"]["name"] = "added"
    added["spec"]["path_prefix"] = "/added/"
    del routes[7]
    routes[3]["spec"]["timeout_ms"] = 1234
    routes.insert(0, added)
    context.written["version"] += 1
    context.after = context.decoder.decode(encode(context.written))


@then("the routes that it leaves as they are have not been decoded again")
def step_kept(context):
    before = {route.name: route for route in context.before.routes}
    new = {r.name for r in context.after.routes if r is not before.get(r.name)}
    assert new == {"added", "route-3"}, new


@then("it is the same as if it were the first one")
def step_same(context):
    assert context.after == decode_configuration(encode(context.written))


@when("a version has a malformed entry")
def step_malformed(context):
    broken = copy.deepcopy(context.written)
    broken["resources"][5]["spec"]["timeout_ms"] = "soon"
    try:
        context.decoder.decode(encode(broken))
        context.rejected = False
    except Unreadable:
        context.rejected = True


@then("the malformed version is rejected")
def step_rejected(context):
    assert context.rejected


@then("the next version without that entry is decoded")
def step_next(context):
    del context.written["resources"][5]
    decoded = context.decoder.decode(encode(context.written))
    assert decoded == decode_configuration(encode(context.written))


@then("for all sets of routes, the index finds the longest prefix, or none")
def step_longest(context):
    # The first draw collects constants of all modules, which takes long.
    @settings(
        derandomize=True,
        max_examples=200,
        deadline=None,
        suppress_health_check=[HealthCheck.too_slow],
    )
    @given_values(st.lists(PARTS, max_size=8), PARTS, st.booleans())
    def check(prefixes, path, slash):
        written = ["/" + "".join(f"{part}/" for part in parts) for parts in prefixes]
        target = "/" + "/".join(path) + ("/" if slash else "")
        routes = [a_route(name=str(n), prefix=p) for n, p in enumerate(written)]
        index = RouteIndex.of(Configuration(1, tuple(routes), {}, CallerLimits()))
        matching = [route for route in routes if target.startswith(route.prefix)]
        longest = max((len(route.prefix) for route in matching), default=0)
        expected = next((r for r in matching if len(r.prefix) == longest), None)
        assert index.find(HOST, target.encode() + b"?q=/a/") is expected

    check()


@then("an index of {count:d} routes takes at most {steps:d} steps for a request")
def step_steps(context, count, steps):
    routes = RouteIndex.of(context.before).by_host[HOST]
    assert len(routes.by_prefix) == count, len(routes.by_prefix)
    assert len(routes.lengths) <= steps, routes.lengths
