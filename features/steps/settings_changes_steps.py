"""Steps for settings files that change while their process runs."""

from __future__ import annotations

import asyncio
import dataclasses
import signal

from behave import given, then, when

from features.builders_fleet_types import an_identity
from features.builders_node import a_configuration, run
from features.builders_node_programs import (
    MEMORY_MB,
    ProgramDeployment,
    start_programs,
)
from features.builders_processes import new_log_directory
from rosemarydeal.core import Address
from rosemarydeal.node.settings_watch import SettingsChange, follow_settings

OTHER_SETTINGS = {
    "store": Address("127.0.0.1", 7999),
    "announce_period_s": 0.7,
    "drain_s": 2.5,
    "grace_s": 7.0,
    "retry_slack": 11.0,
    "max_hold_s": 9.0,
    "upstream": Address("127.0.0.1", 7998),
    "callers": Address("127.0.0.1", 7997),
    "zone": "perth-z",
}


@given("a deployment of {count:d} node programs")
def step_programs(context, count):
    start_programs(context, ProgramDeployment(count, new_log_directory()))


@when("the store moves, and the settings files change {signalled}")
def step_move(context, signalled):
    deployment = context.deployment
    deployment.address = run(context, deployment.store.move())
    for name, program in deployment.nodes.items():
        deployment.write_settings(name)
        if signalled == "with SIGHUP":
            program.send(signal.SIGHUP)


@when("the settings file of vm-a is replaced by half of it")
def step_half(context):
    path = context.deployment.write_settings("vm-a")
    text = path.read_text("utf-8")
    half = path.with_suffix(".half")
    half.write_text(text[: len(text) // 2], "utf-8")
    # A process must not read the file as it is being written.
    half.replace(path)


@when("the settings file of vm-a states another limit of its memory")
def step_memory(context):
    context.deployment.write_settings("vm-a", memory_mb=MEMORY_MB + 100)


@when("{seconds:d} seconds pass for the programs")
def step_pass(context, seconds):
    run(context, asyncio.sleep(seconds))


@when("the operator moves the route of the programs to /b/")
def step_route(context):
    moved = a_configuration(version=4, prefix="/b/")
    context.deployment.store.put("config", "main", moved)


@then("each program serves /b/ and not /a/ within {seconds:d} seconds")
def step_served(context, seconds):
    deployment = context.deployment

    async def statuses(name):
        new = await deployment.send_request(name, 5, "/b/1")
        old = await deployment.send_request(name, 5, "/a/1")
        return new.status, old.status

    run(context, asyncio.sleep(seconds))
    for name in deployment.nodes:
        found = run(context, statuses(name))
        assert found == (200, 404), (name, found)


@then("vm-a logged {event} once")
def step_logged(context, event):
    (context.line,) = context.deployment.logged("vm-a", event)


@then("the line names {setting} as pending")
def step_pending(context, setting):
    assert context.line["pending"] == [setting], context.line
    assert context.line["followed"] == [], context.line


@given("the settings of a process that runs")
def step_settings(context):
    context.current = an_identity("vm-a", "127.0.0.1", Address("127.0.0.1", 7000))


@when("its file states another {setting}")
def step_other(context, setting):
    changed = {setting: OTHER_SETTINGS[setting]}
    if hasattr(context.current.bounds, setting):
        changed = {"bounds": dataclasses.replace(context.current.bounds, **changed)}
    context.setting = next(iter(changed))
    context.stated = dataclasses.replace(context.current, **changed)


@when("its file states no first start")
def step_no_first_start(context):
    assert context.current.first_start
    context.stated = dataclasses.replace(context.current, first_start=False)


@then("no setting is followed or pending")
def step_nothing_changes(context):
    change = follow_settings(context.current, context.stated)
    assert change == SettingsChange(context.current, (), ()), change


@then("the setting is {result}")
def step_result(context, result):
    change = follow_settings(context.current, context.stated)
    is_followed = result == "followed"
    assert change.followed == ((context.setting,) if is_followed else ()), change
    assert change.pending == (() if is_followed else (context.setting,)), change
    expected = context.stated if is_followed else context.current
    assert change.settings == expected, change
