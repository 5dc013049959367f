"""Steps for the adapter to the operator's platform."""

from __future__ import annotations

import json
import re
from pathlib import Path

import msgspec
from behave import given, then, when

from features.builders_fleet_types import a_member
from features.builders_node import a_configuration
from rosemarydeal.core import Address
from rosemarydeal.core.fleet import GrantCarrier, Revision, StoredObject
from rosemarydeal.node.records import MEMBERS, Records
from rosemarydeal.platform.errors import SettingsWrong, Unreadable
from rosemarydeal.platform.node_settings import parse_identity
from rosemarydeal.platform.operator import decode_configuration

FOREIGN_NAMES = re.compile(
    "shard-key|target-instance|not-executed|response-signature|server-load"
    "|heartbeat_addr|(?<!rosemarydeal-)deadline-ms|caller-service|finalizers|/v1/"
    "|hostname|path_prefix|current_rev|evacuations",
    re.IGNORECASE,
)
SETTINGS = """
node_name = "sidecar-bergen-a-1"
service = "huvo11a"
ip = "10.1.0.35"
zone = "bergen-a"
internal_ports = [7660,7675]
heartbeat_ms = 870
bootstrap = true
bounds = ["drain_ms=2000","grace_s=6","retry_budget_slack=58","exact=true"]
app_addr = "10.1.0.35:8147"
[zones]
bergen-a = "vestland"
voss-b = "vestland"
[listen]
inbound = "10.1.0.35:8145"
outbound = "10.1.0.35:8141"
ready = "10.1.0.35:8140"
control = "10.1.0.35:8146"
[provider]
addr = "10.200.1.7:8142"
"""
CONFIGURATION = {
    "version": 7,
    "resources": [
        {
            "type": "routes",
            "metadata": {"name": "r-x73d3zj"},
            "spec": {
                "hostname": "Ficu95.example",
                "path_prefix": "/lohu930/",
                "kind": "idempotent",
                "timeout_ms": 1200,
                "latency_target_ms": 600,
                "priority": 2,
                "backends": [
                    {"service": "huvo11a", "weight": 90},
                    {"service": "wuno96b", "weight": 10},
                ],
                "attempts": 2,
            },
        },
        {
            "type": "services",
            "metadata": {"name": "huvo11a"},
            "spec": {"cold_per_s": 15.0, "sharded": True, "max_conns": 110},
        },
        {"type": "something-new", "metadata": {}, "spec": {"a": 1}},
    ],
}


@then("no other module of the product contains a header, path or kind of the platform")
def step_names(context):
    matches = []
    for path in Path("rosemarydeal").rglob("*.py"):
        if path.parts[1] == "platform":
            continue
        for number, line in enumerate(path.read_text("utf-8").splitlines(), 1):
            if FOREIGN_NAMES.search(line):
                matches.append(f"{path}:{number}: {line.strip()}")
    assert not matches, "\n".join(matches)


@given("the settings file from the platform's documentation")
def step_settings(context):
    context.toml = SETTINGS


@then("the identity of the process matches the file")
def step_identity(context):
    identity = parse_identity(context.toml)
    assert identity.node == "sidecar-bergen-a-1"
    assert identity.callers == Address("10.1.0.35", 8141)
    assert identity.upstream == Address("10.1.0.35", 8147)
    assert identity.zones == ("bergen-a", "voss-b")
    assert identity.announce_period_s == 0.87
    assert identity.bounds.drain_s == 2.0 and identity.bounds.retry_slack == 58.0


@then("an unknown field changes nothing")
def step_unknown(context):
    more = 'novelty = "x"\n' + context.toml
    assert parse_identity(more) == parse_identity(context.toml)


@when("the setting {field} is {broken}")
def step_broken(context, field, broken):
    if broken == "no TOML":
        context.toml = "= = ="
        return
    line = next(x for x in context.toml.splitlines() if x.startswith(field))
    new = "" if broken == "missing" else f'{field} = "word"'
    context.toml = context.toml.replace(line, new)


@then("reading it fails with the code {code}")
def step_code(context, code):
    try:
        parse_identity(context.toml)
    except SettingsWrong as error:
        assert error.code == code, error.code
        return
    raise AssertionError("the settings were read")


@given("the configuration from the platform's documentation")
def step_configuration(context):
    context.body = json.dumps(CONFIGURATION).encode()


@then("the route {prefix} is split 90 to 10 and idempotent")
def step_split(context, prefix):
    (route,) = decode_configuration(context.body).routes
    assert route.prefix == prefix and route.idempotent
    assert route.host == "ficu95.example"
    assert [b.weight for b in route.backends] == [90.0, 10.0]


@then(
    "the service {name} is keyed and limited to {rate:d} requests a second while cold"
)
def step_service(context, name, rate):
    service = decode_configuration(context.body).services[name]
    assert service.keyed and service.cold_per_s == rate


@then("a configuration without a version is rejected")
def step_unversioned(context):
    body = json.dumps({"resources": []}).encode()
    try:
        decode_configuration(body)
    except Unreadable:
        return
    raise AssertionError("it was decoded")


def empty_records():
    return Records()


@given("a store with a valid, a foreign and a malformed member")
def step_members(context):
    context.records = empty_records()
    valid = msgspec.json.encode(a_member("vm-a"))
    contents = {"vm-a": valid, "vm-b": b'{"node":3}', "vm-c": b'"x"', "vm-d": valid}
    for number, (name, content) in enumerate(contents.items()):
        context.records.apply(
            StoredObject(MEMBERS, name, Revision(0, 10 + number), content)
        )


@then("the records contain only the valid member")
def step_good(context):
    assert set(context.records.members) == {"vm-a"}


@given("records that hold version {version:d} of the configuration")
def step_known_version(context, version):
    context.records = empty_records()
    body = json.dumps(a_configuration(version)).encode()
    context.records.apply(StoredObject("config", "main", Revision(0, 10), body))


@when("the store delivers version {version:d} at a later revision")
def step_older(context, version):
    body = json.dumps(a_configuration(version)).encode()
    context.records.apply(StoredObject("config", "main", Revision(0, 20), body))


@then("version {version:d} stays in force")
def step_stays(context, version):
    assert context.records.configuration.version == version


@then("grants are carried by calls unless the settings say heartbeat")
def step_carrier(context):
    def carrier(line):
        return parse_identity(line + context.toml).grant_carrier

    assert carrier("") is carrier('grants = "call"\n') is GrantCarrier.CALL
    assert carrier('grants = "heartbeat"\n') is GrantCarrier.HEARTBEAT
    try:
        carrier('grants = "pigeon"\n')
    except SettingsWrong:
        return
    raise AssertionError("an unknown carrier was accepted")


@then("it is the first start only if the settings say so")
def step_first_start(context):
    stated = "bootstrap = true\n"
    assert parse_identity(context.toml).first_start
    later = context.toml.replace(stated, "bootstrap = false\n")
    assert not parse_identity(later).first_start
    assert not parse_identity(context.toml.replace(stated, "")).first_start
