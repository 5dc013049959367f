import json
import tempfile
from pathlib import Path
from threading import Thread

from behave import given, then, when
from hypothesis import given as for_all
from hypothesis import settings
from hypothesis import strategies as st

from features.builders_operators import build_console
from rosemarydeal.core import CONFIG_KEY, UPSTREAMS_KEY, ZONES_KEY
from rosemarydeal.settings import decode_envelope

EXAMPLE = Path("examples/fremantle.json")


def changed_text(slots):
    """Returns the example file with another number of slots."""
    text = EXAMPLE.read_text("utf-8")
    return text.replace('"slots": 12', f'"slots": {slots}')


def run_with_text(console, text, *arguments):
    """Runs a command on a temporary file with the given text."""
    with tempfile.TemporaryDirectory() as directory:
        file = Path(directory, "changed.json")
        file.write_text(text, "utf-8")
        return console.run(arguments[0], str(file), *arguments[1:])


def in_force(console):
    """Returns version and envelope of the configuration in force."""
    stored = console.platform.store.get(CONFIG_KEY)
    return stored.versioned.version, decode_envelope(stored.versioned.value)


@given("an operators' deployment")
def step_stage(context):
    context.console = build_console()


@given("an operators' deployment without processes")
def step_stage_empty(context):
    context.console = build_console(members=())


@given('an operators\' deployment with "{file}" applied')
def step_stage_applied(context, file):
    context.console = build_console()
    assert context.console.run("apply", file) == 0, context.console.messages.getvalue()


@given("a colleague applied a changed file")
def step_colleague_applied(context):
    code = run_with_text(
        context.console.colleague(), changed_text(14), "apply", "--base", "1"
    )
    assert code == 0


def before_put(context, action, attempt=1):
    """Runs an action just before one of the operator's writes."""
    no_ops = [lambda: None] * (attempt - 1)
    context.console.platform.before_put += [*no_ops, action]


def in_thread(action):
    """Runs a command in a thread, as the current one already runs an event loop."""
    thread = Thread(target=action)
    thread.start()
    thread.join()


@given("a colleague applies a changed file just before the next write")
def step_colleague_races(context):
    other = context.console.colleague()
    before_put(
        context,
        lambda: in_thread(
            lambda: run_with_text(other, changed_text(14), "apply", "--base", "1")
        ),
    )


@given(
    "a colleague applies a changed file over the operator's before its second attempt"
)
def step_colleague_second(context):
    other = context.console.colleague()
    before_put(
        context,
        lambda: in_thread(
            lambda: run_with_text(other, changed_text(14), "apply", "--base", "2")
        ),
        attempt=2,
    )


@given('a colleague takes "{zone}" out just before the next write')
def step_colleague_zone(context, zone):
    other = context.console.colleague()
    before_put(
        context, lambda: in_thread(lambda: other.run("availability-zone", "out", zone))
    )


@given('a colleague drains "{upstream}" just before the next write')
def step_colleague_drains(context, upstream):
    other = context.console.colleague()
    before_put(
        context, lambda: in_thread(lambda: other.run("upstream", "drain", upstream))
    )


@given("the platform loses the next {count:d} answers to writes")
def step_lose_answers(context, count):
    context.console.platform.lose_answers = count


@given("the platform loses the next {count:d} requests to write")
def step_lose_requests(context, count):
    context.console.platform.lose_requests = count


@given("the platform is down")
def step_down(context):
    context.console.platform.down = True


@given('the process "{node}" is unresponsive')
def step_unresponsive(context, node):
    context.console.nodes.unresponsive.add(node)


@given('all processes of "{service}" are unresponsive')
def step_all_unresponsive(context, service):
    for number in range(1, 7):
        context.console.nodes.unresponsive.add(f"{service}-{number}")


@given('the process "{node}" does not apply new versions')
def step_stuck(context, node):
    context.console.nodes.lagging.add(node)


@given('each process of "{service}" runs {count:d} requests')
def step_running(context, service, count):
    for number in range(1, 7):
        context.console.nodes.running[f"{service}-{number}"] = count


@given('the slice of "{key}" is owned by "{node}"')
def step_owned_by(context, key, node):
    context.console.nodes.owned_by = node


@when('an operator runs "{command}"')
def step_run(context, command):
    context.code = context.console.run(*command.split())


@when("an operator applies another changed file with base {base:d}")
def step_apply_changed(context, base):
    text = changed_text(13)
    context.code = run_with_text(context.console, text, "apply", "--base", str(base))


def unsafe_text():
    """Returns the example file with changes that need all processes stopped."""
    text = EXAMPLE.read_text("utf-8").replace('"slices": 256', '"slices": 128')
    return text.replace('"settings": {', '"settings": {"ownership": {"lease_s": 2},', 1)


@when("an operator applies a file with another slice count and lease time")
def step_apply_unsafe(context):
    context.code = run_with_text(context.console, unsafe_text(), "apply", "--base", "1")


@when("an operator applies a file with another slice count and lease time, unsafe")
def step_apply_unsafe_forced(context):
    arguments = ("apply", "--base", "1", "--unsafe")
    context.code = run_with_text(context.console, unsafe_text(), *arguments)


@when("an operator compares a changed file")
def step_compare(context):
    context.code = run_with_text(context.console, changed_text(13), "diff")


@then("the command exits with {code:d}")
def step_exit(context, code):
    assert context.code == code, (context.code, context.console.messages.getvalue())


@then('the command reports "{text}"')
def step_reports(context, text):
    assert text in context.console.messages.getvalue(), (
        context.console.messages.getvalue()
    )


@then('the command shows "{text}"')
def step_shows(context, text):
    assert text in context.console.results.getvalue(), (
        context.console.results.getvalue()
    )


@then('the command shows the line of "{text}" for "{setting}"')
def step_shows_line(context, text, setting):
    lines = EXAMPLE.read_text("utf-8").splitlines()
    expected = text.replace("\\", "")
    (number,) = (n for n, line in enumerate(lines, 1) if expected in line)
    shown = [
        line
        for line in context.console.results.getvalue().splitlines()
        if setting in line and f"{EXAMPLE}:{number} " in line
    ]
    assert len(shown) == 1, context.console.results.getvalue()


@then("the platform received {count:d} operators' writes")
def step_puts(context, count):
    assert context.console.platform.puts == count


@then("the configuration in force is the colleague's")
def step_in_force_colleague(context):
    version, envelope = in_force(context.console)
    assert (version, envelope.operator) == (2, "finn")


@then('the configuration in force is "{file}" as version {version:d}')
def step_in_force_file(context, file, version):
    current, envelope = in_force(context.console)
    assert current == version
    assert envelope.text == Path(file).read_text("utf-8")


def history_versions(console):
    """Returns the versions that the history lists."""
    assert console.run("history", "--json") == 0
    return [line["version"] for line in json.loads(console.results.getvalue())]


@then("the history has the versions {versions}")
def step_history(context, versions):
    assert history_versions(context.console) == [int(v) for v in versions.split(", ")]


@then("the operators' queries print JSON with these values")
def step_json(context):
    for row in context.table:
        assert context.console.run(*row["command"].split(), "--json") == 0, row
        value = json.loads(context.console.results.getvalue())
        for name in filter(None, row["path"].split(".")):
            value = value[int(name)] if isinstance(value, list) else value[name]
        assert str(value) == row["value"], (row, value)


@then("no availability zone is out")
def step_no_zone(context):
    assert json.loads(context.console.results.getvalue())["zones"]["out"] == []


def names_in(context, key, names, field):
    """Returns the sorted names of an operators' object, joined by commas."""
    value = json.loads(context.console.platform.store.get(key).versioned.value)
    return ", ".join(sorted(entry[field] for entry in value[names]))


@then('the zones that are out are "{zones}"')
def step_zones(context, zones):
    assert names_in(context, ZONES_KEY, "out", "availability_zone") == zones


@then('the upstreams that drain are "{upstreams}"')
def step_upstreams(context, upstreams):
    assert names_in(context, UPSTREAMS_KEY, "draining", "upstream") == upstreams


ACTIONS = st.tuples(
    st.integers(0, 2),
    st.integers(1, 5),
    st.sampled_from(["fine", "answer lost", "request lost", "raced"]),
)


@then("concurrent operators never lose an accepted change")
def step_races(context):
    conflicts = []

    @settings(derandomize=True, max_examples=25, deadline=None)
    @for_all(st.lists(ACTIONS, min_size=1, max_size=6))
    def check(actions):
        first_console = build_console()
        operators = [
            first_console,
            first_console.colleague("finn"),
            first_console.colleague("gro"),
        ]
        assert first_console.run("apply", str(EXAMPLE)) == 0
        accepted = {1: EXAMPLE.read_text("utf-8")}
        for index, base, fault in actions:
            slots = 20 + len(accepted) * 7 + index
            text = changed_text(slots)
            console = operators[index]
            console.platform.lose_answers = fault == "answer lost"
            console.platform.lose_requests = fault == "request lost"
            current = max(accepted)
            if fault == "raced":
                other = operators[index - 1]
                other_text = changed_text(slots + 50)
                console.platform.before_put = [
                    lambda other=other, other_text=other_text, current=current: (
                        in_thread(
                            lambda: run_with_text(
                                other, other_text, "apply", "--base", str(current)
                            )
                        )
                    )
                ]
            code = run_with_text(console, text, "apply", "--base", str(base))
            raced = fault == "raced" and not console.platform.before_put
            console.platform.before_put = []
            if raced:
                accepted[current + 1] = other_text
            assert code == (0 if base == current and not raced else 4), code
            if code == 0:
                accepted[current + 1] = text
            conflicts.append(code)
        version, envelope = in_force(first_console)
        assert (version, envelope.text) == (max(accepted), accepted[max(accepted)])
        assert history_versions(first_console) == sorted(accepted, reverse=True)
        for old, text in accepted.items():
            code = first_console.run("rollback", str(old), "--base", str(version))
            assert code == 0
            version, envelope = in_force(first_console)
            assert envelope.text == text

    check()
    assert {0, 4} <= set(conflicts)
