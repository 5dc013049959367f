import json
import tempfile
import time
from pathlib import Path

from behave import given, then, when

from features.builders_live import LiveDeployment

MAX_ATTEMPTS = 60
RETRY_INTERVAL_S = 0.25


@given("a running deployment with operators")
def step_running(context):
    context.live = LiveDeployment()
    context.add_cleanup(context.live.stop)
    context.live.start()


def run_until(context, arguments, accepted):
    """Repeats a command until its output is accepted."""
    for _ in range(MAX_ATTEMPTS):
        context.live_code = context.live.run(*arguments)
        if context.live_code == 0 and accepted(context.live.results):
            return
        time.sleep(RETRY_INTERVAL_S)
    raise AssertionError(context.live.results + context.live.notes)


@when('the live operator runs "{command}" until "{field}" is true everywhere')
def step_until_all(context, command, field):
    def accepted(text):
        nodes = json.loads(text)["nodes"]
        statuses = [node["status"] for node in nodes]
        return len(nodes) == 4 and all(s is not None and s[field] for s in statuses)

    run_until(context, command.split(), accepted)


@when('the live operator runs "{command}" until it shows "{text}"')
def step_until_shows(context, command, text):
    run_until(context, command.split(), lambda shown: text in shown)


@when("the live operator waits until {node} owns no slices and drains")
def step_wait_emptied(context, node):
    def emptied(text):
        statuses = {n["status"]["node"]: n["status"] for n in json.loads(text)["nodes"]}
        status = statuses[node]
        return status["owned"] == 0 and status["phase"] == "draining"

    run_until(context, ["status", "--json"], emptied)


@then("the live processes are all up")
def step_all_up(context):
    def up(text):
        return {n["status"]["phase"] for n in json.loads(text)["nodes"]} == {"up"}

    run_until(context, ["status", "--json"], up)


@when('the live operator runs "{command}"')
def step_run(context, command):
    context.live_code = context.live.run(*command.split())


@when("the live operator queries one process for its status")
def step_query_one(context):
    admin = context.live.fleet.vms[0].settings.admin
    context.live_code = context.live.run("status", "--ask", str(admin))


def apply_changed(context, slots):
    """Applies the example file with changed slots against version 1."""
    text = Path("examples/fremantle.json").read_text("utf-8")
    with tempfile.TemporaryDirectory() as directory:
        file = Path(directory, "changed.json")
        file.write_text(text.replace('"slots": 12', f'"slots": {slots}'), "utf-8")
        context.live_code = context.live.run("apply", str(file), "--base", "1")


@when("the live operator applies a changed file")
def step_apply(context):
    apply_changed(context, 13)


@when("the live operator applies the file again against an old version")
def step_apply_again(context):
    apply_changed(context, 14)


@given("the live platform stops")
def step_platform_stops(context):
    context.live.call(context.live.fleet.platform.stop())


@then("the live status has {count:d} processes with configuration {version:d}")
def step_status(context, count, version):
    nodes = json.loads(context.live.results)["nodes"]
    versions = [node["status"]["config_version"] for node in nodes]
    assert versions == [version] * count, versions


@then("the live command exits with {code:d}")
def step_exit(context, code):
    assert context.live_code == code, (context.live_code, context.live.notes)


@then('the live command notes "{text}"')
def step_notes(context, text):
    assert text in context.live.notes, context.live.notes


@then('the live command shows "{text}"')
def step_shows(context, text):
    assert text in context.live.results, context.live.results


def slice_lines(text):
    return [line for line in text.splitlines() if line.startswith("box-office")]


@when('the live operator runs "{command}" until all {count:d} are placed')
def step_until_placed(context, command, count):
    # Chunks are written separately, so some rows appear later than others.
    run_until(context, command.split(), lambda text: len(slice_lines(text)) >= count)


@then("the live command shows {count:d} slices")
def step_slices(context, count):
    assert len(slice_lines(context.live.results)) == count
