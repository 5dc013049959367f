import json
import re
from dataclasses import fields
from pathlib import Path
from unittest.mock import patch

from behave import step, then, when
from hypothesis import example, given, settings
from hypothesis import strategies as st

from features.builders_settings import as_text, deployment_file, load_file
from rosemarydeal.core import Place
from rosemarydeal.policy.ownership_settings import OwnershipSettings
from rosemarydeal.settings import (
    Ownership,
    PathPattern,
    ProblemCode,
    canonical_path,
    effective_settings,
    explain_settings,
    load_deployment,
    load_node,
    tree_checks,
)
from rosemarydeal.settings.build import build_deployment
from rosemarydeal.settings.convert import convert
from rosemarydeal.settings.files import DeploymentFile
from rosemarydeal.settings.schema import SCHEMA_DIRECTORY, schema_texts
from rosemarydeal.settings.syntax import parse

REGION, ZONES = "wa-perth", ("perth-a", "perth-b")
PLACES = [
    (),
    (REGION,),
    *((REGION, zone) for zone in ZONES),
    *((REGION, zone, f"{zone}-1") for zone in ZONES),
]
SUBJECTS = [(), ("box-office",), ("box-office", "show-7"), ("show-schedule",)]
TREE_POSITIONS = st.tuples(st.sampled_from(PLACES), st.sampled_from(SUBJECTS))


@when('the settings file "{file}" is loaded')
def step_load(context, file):
    context.loaded, context.problems = load_file(file)


@then("the settings have no problems")
def step_no_problem(context):
    assert context.loaded is not None
    assert context.problems == ()


def plain_value(node):
    """Returns the value of a node, without positions."""
    if hasattr(node, "members"):
        return [(member.name, plain_value(member.value)) for member in node.members]
    if hasattr(node, "items"):
        return [plain_value(item) for item in node.items]
    return node.value


def line_numbers(node):
    """Returns the line numbers of all values of a node, in order."""
    children = [member.value for member in getattr(node, "members", ())]
    children += getattr(node, "items", ())
    return [
        node.location.line,
        *(line for child in children for line in line_numbers(child)),
    ]


JSON_VALUES = st.recursive(
    st.none()
    | st.booleans()
    | st.integers(-(10**9), 10**9)
    | st.sampled_from(["// no", "/* no */", '"', "\\", "\t", "a", "é", "😀", ""]),
    lambda child: (
        st.lists(child, max_size=4)
        | st.dictionaries(st.sampled_from("abc/*\t"), child, max_size=4)
    ),
    max_leaves=12,
)
COMMENTS = st.sampled_from(["", " // one", "\t", " /* two */", '/* "three" */'])


@then("settings with comments equal the same settings without comments")
def step_comments(context):
    @settings(derandomize=True, max_examples=150, deadline=None)
    @given(JSON_VALUES, st.data())
    def check(value, data):
        text = json.dumps(value, indent=1)
        commented = "\n".join(line + data.draw(COMMENTS) for line in text.split("\n"))
        without_comments, problems = parse(text, "a")
        assert problems == ()
        with_comments, problems = parse(commented, "a")
        assert problems == ()
        assert plain_value(with_comments) == plain_value(without_comments)
        assert line_numbers(with_comments) == line_numbers(without_comments)
        assert json.loads(text) == value

    check()


def branch_object(content, place, subject):
    """Returns the branch of a place and subject, created if missing."""
    node = content
    for name, collection in zip(
        place, ("regions", "availability_zones", "upstreams"), strict=False
    ):
        node = node.setdefault(collection, {}).setdefault(name, {})
    for name, collection in zip(subject, ("services", "keys"), strict=False):
        node = node.setdefault(collection, {}).setdefault(name, {})
    return node


def expected_slots(slots_by_branch, place, subject):
    """Returns the slots of the narrowest subject, then of the narrowest place."""
    candidates = [
        ((len(position[1]), len(position[0])), slots)
        for position, slots in slots_by_branch.items()
        if place[: len(position[0])] == position[0]
        and subject[: len(position[1])] == position[1]
    ]
    return max(candidates, default=(None, 16))[1]


@then("effective settings follow the documented precedence")
def step_precedence(context):
    compared_positions = []

    @settings(derandomize=True, max_examples=300, deadline=None)
    @given(
        st.dictionaries(TREE_POSITIONS, st.integers(1, 90), max_size=8), TREE_POSITIONS
    )
    def check(slots_by_branch, position):
        content = deployment_file()
        for (place, subject), slots in slots_by_branch.items():
            limits = {"limits": {"slots": slots}}
            branch_object(content, place, subject)["settings"] = limits
        loaded, problems = load_deployment(as_text(content), "a")
        if loaded is None:
            assert {problem.code for problem in problems} == {"unused-setting"}
            return
        place, subject = position
        if not subject:
            return
        key = subject[1] if len(subject) > 1 else None
        queried_place = Place(*(*place, "", "", "")[:3])
        resolved = effective_settings(loaded, subject[0], queried_place, key)
        assert resolved.limits.slots == expected_slots(slots_by_branch, place, subject)
        entry = explain_settings(loaded, subject[0], queried_place, key)[0]
        assert (entry.name, entry.value) == ("slots", resolved.limits.slots)
        compared_positions.append(position)

    check()
    assert len(compared_positions) > 100, len(compared_positions)


@then('the settings explain these values of "{service}" in "{place}"')
def step_explain(context, service, place):
    region, zone = place.split("/")
    entries = explain_settings(context.loaded, service, Place(region, zone))
    explained = {f"{entry.group}.{entry.name}": entry for entry in entries}
    for row in context.table:
        entry = explained[row["setting"]]
        assert str(entry.value) == row["value"], entry
        assert str(entry.scope or "built-in default") == row["branch"], entry
        if entry.leaf is None:
            assert row["text"] == ""
            continue
        source_lines = Path(entry.leaf.location.file).read_text("utf-8").splitlines()
        assert row["text"] in source_lines[entry.leaf.location.line - 1], entry


@then('the settings pattern "{pattern}" matches the target "{target}": {matches}')
def step_pattern(context, pattern, target, matches):
    matched = PathPattern(pattern).matches(canonical_path(target))
    assert matched is (matches == "true")


@then('the settings classify these requests of "{service}"')
def step_idempotent(context, service):
    for row in context.table:
        idempotent = context.loaded.services[service].is_idempotent(
            row["method"], row["target"]
        )
        assert idempotent is (row["idempotent"] == "true"), row


def is_allowed(context, value, target, service):
    """Returns whether a caller with a tenant header value may use a target."""
    tenant = context.loaded.tenants.classify(value).name
    return context.loaded.services[service].admits(tenant, target)


@step('the settings allow "{value}" to use "{target}" of "{service}"')
def step_allow(context, value, target, service):
    assert is_allowed(context, value, target, service)


@step('the settings forbid "{value}" to use "{target}" of "{service}"')
def step_forbid(context, value, target, service):
    assert not is_allowed(context, value, target, service)


@step('the settings forbid "" to use "{target}" of "{service}"')
def step_forbid_unnamed(context, target, service):
    assert not is_allowed(context, "", target, service)


INVALID_FILES = Path("features/settings_files")
EXPECTED_CODE = re.compile(r"// expect: ([a-z-]+)")


def expected_problems(file):
    """Returns the line and code of each problem that a file's comments expect."""
    numbered_lines = enumerate(Path(file).read_text("utf-8").splitlines(), 1)
    return [
        (number, code)
        for number, line in numbered_lines
        for code in EXPECTED_CODE.findall(line)
    ]


@then("the settings problems are the ones that the file's comments expect")
def step_expected_problems(context):
    assert context.loaded is None
    found = [(item.location.line, item.code) for item in context.problems]
    file = context.problems[0].location.file
    assert found == expected_problems(file), "\n".join(map(str, context.problems))
    assert all(item.detail for item in context.problems)


@then("no settings problem shows a secret")
def step_no_secret(context):
    shown = " ".join(map(str, context.problems))
    assert "also short" not in shown
    assert "'secret'" not in shown


@then('the settings problems have only the code "{code}"')
def step_only_code(context, code):
    assert context.loaded is None
    assert {item.code for item in context.problems} == {code}


@then("the settings files expect every code that the checks define")
def step_every_code(context):
    codes = {
        value for name, value in vars(ProblemCode).items() if not name.startswith("_")
    }
    tested_codes = {
        code for file in INVALID_FILES.iterdir() for _, code in expected_problems(file)
    }
    assert tested_codes == codes, tested_codes ^ codes


@then("arbitrary and damaged settings texts yield settings or problems")
def step_any_text(context):
    deployment_text = Path("examples/fremantle.json").read_text("utf-8")
    node_text = Path("examples/node-box-office-1.json").read_text("utf-8")

    @settings(derandomize=True, max_examples=150, deadline=None)
    @given(st.data())
    def check(data):
        text = data.draw(
            st.sampled_from([deployment_text, node_text]) | st.text(max_size=40)
        )
        start = data.draw(st.integers(0, len(text)))
        end = data.draw(st.integers(start, min(start + 20, len(text))))
        damage = data.draw(st.sampled_from(["", "{", "]", '"', "1", "[[", "\x00", "é"]))
        text = text[:start] + damage + text[end:]
        for load in (load_deployment, load_node):
            loaded, problems = load(text, "a")
            assert (loaded is None) == bool(problems), problems

    check()
    for text in ("[" * 100_000, "[" * 50 + "]" * 50, "1" * 5000, "NaN", "", "null"):
        loaded, problems = load_deployment(text, "a")
        assert loaded is None and problems, text[:9]


@then("the settings schemas are up to date")
def step_schema(context):
    for name, text in schema_texts().items():
        assert (SCHEMA_DIRECTORY / name).read_text("utf-8") == text, name


def unknown_names(node, schema, root):
    """Yields the names in a node that a schema does not define."""
    while "$ref" in schema:
        schema = root["$defs"][schema["$ref"].rpartition("/")[2]]
    for item in getattr(node, "items", ()):
        yield from unknown_names(item, schema["items"], root)
    for member in getattr(node, "members", ()):
        properties = schema.get("properties", {})
        member_schema = properties.get(member.name, schema["additionalProperties"])
        if member_schema is False:
            yield member.name
        else:
            yield from unknown_names(member.value, member_schema, root)


@then("the settings schemas define every name that the example files use")
def step_schema_names(context):
    for file in Path("examples").glob("*.json"):
        kind = "node" if file.name.startswith("node") else "deployment"
        schema = json.loads((SCHEMA_DIRECTORY / f"{kind}.schema.json").read_text())
        root, _ = parse(file.read_text("utf-8"), file.name)
        assert list(unknown_names(root, schema, schema)) == [], file
    invalid_root, _ = parse('{"nodes": 1}', "a")
    assert list(unknown_names(invalid_root, schema, schema)) == ["nodes"]


@then("the settings have the default lease timing of the ownership policy")
def step_defaults(context):
    policy = OwnershipSettings()
    for item in fields(Ownership):
        assert getattr(Ownership(), item.name) == getattr(policy, item.name), item


CONFLICTING_SETTINGS = st.fixed_dictionaries(
    {},
    optional={
        "limits": st.fixed_dictionaries(
            {},
            optional={
                "slots": st.sampled_from([10, 90]),
                "connections": st.sampled_from([50, 95]),
                "queue_length": st.integers(0, 3),
            },
        ),
        "deadlines": st.fixed_dictionaries(
            {},
            optional={
                "default_ms": st.sampled_from([10, 900]),
                "max_ms": st.sampled_from([500, 1000]),
            },
        ),
    },
)


def all_combinations(loaded):
    """Yields every combination of service, place and key that a file names."""
    scopes = loaded.branches
    for name, service in loaded.services.items():
        keys = {s.key for s in scopes if s.service == name and s.key}
        for zone in service.availability_zones:
            upstreams = {
                s.place.upstream for s in scopes if s.place.availability_zone == zone
            }
            for upstream in {"", *upstreams}:
                for key in {None, *keys} if service.keyed else {None}:
                    yield name, Place(REGION, zone, upstream), key


@then("the settings checks find the same problems as checks of every combination")
def step_combinations(context):
    found_codes = set()

    @settings(derandomize=True, max_examples=200, deadline=None)
    @given(st.dictionaries(TREE_POSITIONS, CONFLICTING_SETTINGS, max_size=6))
    @example(
        {
            (PLACES[-1], ()): {"deadlines": {"max_ms": 500}},
            ((), ("box-office", "show-7")): {"deadlines": {"default_ms": 900}},
        }
    )
    def check(groups_by_branch):
        content = deployment_file()
        for (place, subject), groups in groups_by_branch.items():
            branch_object(content, place, subject)["settings"] = groups
        root, _ = parse(as_text(content), "a")
        file, problems = convert(DeploymentFile, root)
        assert problems == ()
        loaded = build_deployment(file)
        reduced = tree_checks.check_tree(loaded)
        with patch.object(tree_checks, "combinations", all_combinations):
            exhaustive = tree_checks.check_tree(loaded)
        assert reduced == exhaustive
        found_codes.update(problem.code for problem in reduced)

    check()
    assert found_codes == {"unused-setting", "impossible-value"}


@then("a settings name with a trailing line break is rejected")
def step_line_break(context):
    loaded, problems = load_deployment(as_text(deployment_file(deployment="a\n")), "a")
    assert loaded is None
    assert [problem.code for problem in problems] == ["bad-name"]
