import inspect
import re
from pathlib import Path

from behave import then

from rosemarydeal.cli.commands import build_commands
from rosemarydeal.cli.errors import ExitCode
from rosemarydeal.cli.queries import build_queries
from rosemarydeal.policy.alarms import HOLD_S
from rosemarydeal.settings import UNSAFE_CHANGE, ProblemCode
from rosemarydeal.settings.reference import update_tables

SETTINGS = Path("docs/SETTINGS.md")
OPERATING = Path("docs/OPERATING.md")


@then("the tables of the settings page match the settings types")
def step_tables(context):
    page = SETTINGS.read_text("utf-8")
    assert page.count("<!-- end -->") == 8
    assert update_tables(page) == page


@then("the settings page explains every problem code")
def step_codes(context):
    page = SETTINGS.read_text("utf-8")
    problem_codes = {v for k, v in vars(ProblemCode).items() if not k.startswith("_")}
    listed = set(re.findall(r"^\| `([a-z-]+)` \|", page.partition("## Codes")[2], re.M))
    assert listed == problem_codes | {UNSAFE_CHANGE}, listed ^ problem_codes


def iter_functions(groups, path=()):
    """Yields the full name and the function of each command."""
    for name, item in groups.items():
        if isinstance(item, dict):
            yield from iter_functions(item, (*path, name))
        else:
            yield " ".join((*path, name)), item


@then("the operating page lists every command with its options")
def step_commands(context):
    page = OPERATING.read_text("utf-8")
    functions_by_name = dict(iter_functions(build_commands(None) | build_queries(None)))
    assert len(functions_by_name) == 13
    for name, function in functions_by_name.items():
        assert f"`{name} " in page or f"`{name}`" in page, name
        for option, parameter in inspect.signature(function).parameters.items():
            if parameter.kind is parameter.KEYWORD_ONLY:
                assert f"--{option.replace('_', '-')}" in page, (name, option)
        assert re.search(r"second|\bs\b", inspect.getdoc(function)), name


@then("the operating page explains every exit code by number and name")
def step_exit_codes(context):
    page = OPERATING.read_text("utf-8")
    listed = re.findall(r"^\| (\d+) \| `(\w+)` \|", page, re.M)
    assert listed == [(str(int(code)), code.name.lower()) for code in ExitCode]


@then("the operating page explains every alarm")
def step_alarms(context):
    page = OPERATING.read_text("utf-8").partition("## Alarms")[2]
    listed = dict(re.findall(r"^\| `([a-z_-]+)` \| ([^|]+) \|", page, re.M))
    after = {
        code: f"{hold:g} s" if hold else "at once" for code, hold in HOLD_S.items()
    }
    assert listed == after | {"no_answer": "at once, by `status`"}
