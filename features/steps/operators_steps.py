import json
import tempfile
from pathlib import Path
from threading import Thread

from behave import given, then, when
from hypothesis import given as for_all
from hypothesis import settings
from hypothesis import strategies as st

from features.builders_operators import stage
from rosemarydeal.core import CONFIG_KEY, UPSTREAMS_KEY, ZONES_KEY
from rosemarydeal.settings import decode_envelope

EXAMPLE = Path("examples/fremantle.json")


def changed_text(slots):
    """Returns Fremantle's file with other slots."""
    text = EXAMPLE.read_text("utf-8")
    return text.replace('"slots": 12', f'"slots": {slots}')


def run_with_text(terminal, text, *arguments):
    """Runs a command on a file with a text."""
    with tempfile.TemporaryDirectory() as directory:
        file = Path(directory, "changed.json")
        file.write_text(text, "utf-8")
        return terminal.run(arguments[0], str(file), *arguments[1:])


def in_force(context_stage):
    """Returns version and envelope of the configuration in force."""
    stored = context_stage.platform.store.get(CONFIG_KEY)
    return stored.versioned.version, decode_envelope(stored.versioned.value)


@given("an operators' deployment")
def step_stage(context):
    context.stage = stage()


@given("an operators' deployment without processes")
def step_stage_empty(context):
    context.stage = stage(members=())


@given('an operators\' deployment with "{file}" applied')
def step_stage_applied(context, file):
    context.stage = stage()
    assert context.stage.run("apply", file) == 0, context.stage.notes.getvalue()


@given("a colleague applied a changed file")
def step_colleague_applied(context):
    code = run_with_text(
        context.stage.colleague(), changed_text(14), "apply", "--base", "1"
    )
    assert code == 0


def before_put(context, action, tries=1):
    """Lets a colleague act just before one of the operator's writes."""
    waits = [lambda: None] * (tries - 1)
    context.stage.platform.before_put += [*waits, action]


def in_thread(action):
    """Runs a command with an event loop of its own beside the running one."""
    thread = Thread(target=action)
    thread.start()
    thread.join()


@given("a colleague applies a changed file just before the next write")
def step_colleague_races(context):
    other = context.stage.colleague()
    before_put(
        context,
        lambda: in_thread(
            lambda: run_with_text(other, changed_text(14), "apply", "--base", "1")
        ),
    )


@given("a colleague applies a changed file over the operator's before its second try")
def step_colleague_second(context):
    other = context.stage.colleague()
    before_put(
        context,
        lambda: in_thread(
            lambda: run_with_text(other, changed_text(14), "apply", "--base", "2")
        ),
        tries=2,
    )


@given('a colleague takes "{zone}" out just before the next write')
def step_colleague_zone(context, zone):
    other = context.stage.colleague()
    before_put(
        context, lambda: in_thread(lambda: other.run("availability-zone", "out", zone))
    )


@given('a colleague drains "{upstream}" just before the next write')
def step_colleague_drains(context, upstream):
    other = context.stage.colleague()
    before_put(
        context, lambda: in_thread(lambda: other.run("upstream", "drain", upstream))
    )


@given("the platform loses the next {count:d} answers to writes")
def step_lose_answers(context, count):
    context.stage.platform.lose_answers = count


@given("the platform loses the next {count:d} requests to write")
def step_lose_requests(context, count):
    context.stage.platform.lose_requests = count


@given("the platform is down")
def step_down(context):
    context.stage.platform.down = True


@given('the process "{node}" is silent')
def step_silent(context, node):
    context.stage.nodes.silent.add(node)


@given('all processes of "{service}" are silent')
def step_all_silent(context, service):
    for number in range(1, 7):
        context.stage.nodes.silent.add(f"{service}-{number}")


@given('the process "{node}" does not take new versions over')
def step_stuck(context, node):
    context.stage.nodes.stuck.add(node)


@given('each process of "{service}" runs {count:d} requests')
def step_running(context, service, count):
    for number in range(1, 7):
        context.stage.nodes.running[f"{service}-{number}"] = count


@given('the slice of "{key}" is owned by "{node}"')
def step_owned_by(context, key, node):
    context.stage.nodes.owned_by = node


@when('an operator runs "{command}"')
def step_run(context, command):
    context.code = context.stage.run(*command.split())


@when("an operator applies another changed file with base {base:d}")
def step_apply_changed(context, base):
    text = changed_text(13)
    context.code = run_with_text(context.stage, text, "apply", "--base", str(base))


def unsafe_text():
    """Returns Fremantle's file with changes that need all processes stopped."""
    text = EXAMPLE.read_text("utf-8").replace('"slices": 256', '"slices": 128')
    return text.replace('"settings": {', '"settings": {"ownership": {"lease_s": 2},', 1)


@when("an operator applies a file with other slices and lease times")
def step_apply_unsafe(context):
    context.code = run_with_text(context.stage, unsafe_text(), "apply", "--base", "1")


@when("an operator applies a file with other slices and lease times, unsafe")
def step_apply_unsafe_forced(context):
    arguments = ("apply", "--base", "1", "--unsafe")
    context.code = run_with_text(context.stage, unsafe_text(), *arguments)


@when("an operator compares a changed file")
def step_compare(context):
    context.code = run_with_text(context.stage, changed_text(13), "diff")


@then("the command exits with {code:d}")
def step_exit(context, code):
    assert context.code == code, (context.code, context.stage.notes.getvalue())


@then('the command notes "{text}"')
def step_notes(context, text):
    assert text in context.stage.notes.getvalue(), context.stage.notes.getvalue()


@then('the command shows "{text}"')
def step_shows(context, text):
    assert text in context.stage.results.getvalue(), context.stage.results.getvalue()


@then('the command shows the line of "{text}" for "{setting}"')
def step_shows_line(context, text, setting):
    lines = EXAMPLE.read_text("utf-8").splitlines()
    wanted = text.replace("\\", "")
    (number,) = (n for n, line in enumerate(lines, 1) if wanted in line)
    shown = [
        line
        for line in context.stage.results.getvalue().splitlines()
        if setting in line and f"{EXAMPLE}:{number} " in line
    ]
    assert len(shown) == 1, context.stage.results.getvalue()


@then("the platform took {count:d} operators' writes")
def step_puts(context, count):
    assert context.stage.platform.puts == count


@then("the configuration in force is the colleague's")
def step_in_force_colleague(context):
    version, envelope = in_force(context.stage)
    assert (version, envelope.operator) == (2, "finn")


@then('the configuration in force is "{file}" as version {version:d}')
def step_in_force_file(context, file, version):
    found, envelope = in_force(context.stage)
    assert found == version
    assert envelope.text == Path(file).read_text("utf-8")


def history_versions(terminal):
    """Returns the versions that the history lists."""
    assert terminal.run("history", "--json") == 0
    return [line["version"] for line in json.loads(terminal.results.getvalue())]


@then("the history has the versions {versions}")
def step_history(context, versions):
    assert history_versions(context.stage) == [int(v) for v in versions.split(", ")]


@then("the operators' queries give JSON with these values")
def step_json(context):
    for row in context.table:
        assert context.stage.run(*row["command"].split(), "--json") == 0, row
        found = json.loads(context.stage.results.getvalue())
        for name in filter(None, row["path"].split(".")):
            found = found[int(name)] if isinstance(found, list) else found[name]
        assert str(found) == row["value"], (row, found)


@then("no availability zone is out")
def step_no_zone(context):
    assert json.loads(context.stage.results.getvalue())["zones"]["out"] == []


def listed(context, key, names, field):
    """Returns the sorted names in an operators' object."""
    value = json.loads(context.stage.platform.store.get(key).versioned.value)
    return ", ".join(sorted(entry[field] for entry in value[names]))


@then('the zones that are out are "{zones}"')
def step_zones(context, zones):
    assert listed(context, ZONES_KEY, "out", "availability_zone") == zones


@then('the upstreams that drain are "{upstreams}"')
def step_upstreams(context, upstreams):
    assert listed(context, UPSTREAMS_KEY, "draining", "upstream") == upstreams


MOVES = st.tuples(
    st.integers(0, 2),
    st.integers(1, 5),
    st.sampled_from(["fine", "answer lost", "request lost", "raced"]),
)


@then("racing operators never lose an accepted change")
def step_races(context):
    conflicts = []

    @settings(derandomize=True, max_examples=25, deadline=None)
    @for_all(st.lists(MOVES, min_size=1, max_size=6))
    def check(moves):
        first = stage()
        operators = [first, first.colleague("finn"), first.colleague("gro")]
        assert first.run("apply", str(EXAMPLE)) == 0
        accepted = {1: EXAMPLE.read_text("utf-8")}
        for who, base, fault in moves:
            slots = 20 + len(accepted) * 7 + who
            text = changed_text(slots)
            me = operators[who]
            me.platform.lose_answers = fault == "answer lost"
            me.platform.lose_requests = fault == "request lost"
            present = max(accepted)
            if fault == "raced":
                other = operators[who - 1]
                rival = changed_text(slots + 50)
                me.platform.before_put = [
                    lambda other=other, rival=rival, present=present: in_thread(
                        lambda: run_with_text(
                            other, rival, "apply", "--base", str(present)
                        )
                    )
                ]
            code = run_with_text(me, text, "apply", "--base", str(base))
            raced = fault == "raced" and not me.platform.before_put
            me.platform.before_put = []
            if raced:
                accepted[present + 1] = rival
            assert code == (0 if base == present and not raced else 4), code
            if code == 0:
                accepted[present + 1] = text
            conflicts.append(code)
        version, envelope = in_force(first)
        assert (version, envelope.text) == (max(accepted), accepted[max(accepted)])
        assert history_versions(first) == sorted(accepted, reverse=True)
        for old, text in accepted.items():
            code = first.run("rollback", str(old), "--base", str(version))
            assert code == 0
            version, envelope = in_force(first)
            assert envelope.text == text

    check()
    assert {0, 4} <= set(conflicts)
