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
SPOTS = st.tuples(st.sampled_from(PLACES), st.sampled_from(SUBJECTS))


@when('the settings file "{file}" is loaded')
def step_load(context, file):
    context.loaded, context.problems = load_file(file)


@then("the settings have no problem")
def step_no_problem(context):
    assert context.loaded is not None
    assert context.problems == ()


def plain(node):
    """Returns the value of a node without positions."""
    if hasattr(node, "members"):
        return [(member.name, plain(member.value)) for member in node.members]
    if hasattr(node, "items"):
        return [plain(item) for item in node.items]
    return node.value


def lines(node):
    """Returns the lines of all values of a node in order."""
    below = [member.value for member in getattr(node, "members", ())]
    below += getattr(node, "items", ())
    return [node.location.line, *(line for child in below for line in lines(child))]


VALUES = st.recursive(
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


@then("settings with comments anywhere equal those without them")
def step_comments(context):
    @settings(derandomize=True, max_examples=150, deadline=None)
    @given(VALUES, st.data())
    def check(value, data):
        text = json.dumps(value, indent=1)
        commented = "\n".join(line + data.draw(COMMENTS) for line in text.split("\n"))
        bare, problems = parse(text, "a")
        assert problems == ()
        with_comments, problems = parse(commented, "a")
        assert problems == ()
        assert plain(with_comments) == plain(bare)
        assert lines(with_comments) == lines(bare)
        assert json.loads(text) == value

    check()


def branch(content, place, subject):
    """Returns the object of the branch of a place and subject."""
    node = content
    for name, below in zip(
        place, ("regions", "availability_zones", "upstreams"), strict=False
    ):
        node = node.setdefault(below, {}).setdefault(name, {})
    for name, below in zip(subject, ("services", "keys"), strict=False):
        node = node.setdefault(below, {}).setdefault(name, {})
    return node


def expected_slots(written, place, subject):
    """Returns the winner: the narrowest subject, then the narrowest place."""
    holding = [
        ((len(at[1]), len(at[0])), slots)
        for at, slots in written.items()
        if place[: len(at[0])] == at[0] and subject[: len(at[1])] == at[1]
    ]
    return max(holding, default=(None, 16))[1]


@then("effective settings follow the written order of precedence")
def step_precedence(context):
    compared = []

    @settings(derandomize=True, max_examples=300, deadline=None)
    @given(st.dictionaries(SPOTS, st.integers(1, 90), max_size=8), SPOTS)
    def check(written, spot):
        content = deployment_file()
        for (place, subject), slots in written.items():
            limits = {"limits": {"slots": slots}}
            branch(content, place, subject)["settings"] = limits
        loaded, problems = load_deployment(as_text(content), "a")
        if loaded is None:
            assert {problem.code for problem in problems} == {"unused-setting"}
            return
        place, subject = spot
        if not subject:
            return
        key = subject[1] if len(subject) > 1 else None
        at = Place(*(*place, "", "", "")[:3])
        found = effective_settings(loaded, subject[0], at, key)
        assert found.limits.slots == expected_slots(written, place, subject)
        entry = explain_settings(loaded, subject[0], at, key)[0]
        assert (entry.name, entry.value) == ("slots", found.limits.slots)
        compared.append(spot)

    check()
    assert len(compared) > 100, len(compared)


@then('the settings explain these lines for "{service}" in "{place}"')
def step_explain(context, service, place):
    region, zone = place.split("/")
    entries = explain_settings(context.loaded, service, Place(region, zone))
    found = {f"{entry.group}.{entry.name}": entry for entry in entries}
    for row in context.table:
        entry = found[row["setting"]]
        assert str(entry.value) == row["value"], entry
        assert str(entry.scope or "built-in default") == row["branch"], entry
        if entry.leaf is None:
            assert row["text"] == ""
            continue
        written = Path(entry.leaf.location.file).read_text("utf-8").splitlines()
        assert row["text"] in written[entry.leaf.location.line - 1], entry


@then('the settings pattern "{pattern}" and the target "{target}" give {covered}')
def step_pattern(context, pattern, target, covered):
    found = PathPattern(pattern).matches(canonical_path(target))
    assert found is (covered == "true")


@then('the settings find these requests of "{service}" idempotent')
def step_idempotent(context, service):
    for row in context.table:
        found = context.loaded.services[service].is_idempotent(
            row["method"], row["target"]
        )
        assert found is (row["idempotent"] == "true"), row


def admitted(context, value, target, service):
    """Says whether a caller with a tenant header may use a target."""
    tenant = context.loaded.tenants.classify(value).name
    return context.loaded.services[service].admits(tenant, target)


@step('the settings let "{value}" use "{target}" of "{service}"')
def step_let(context, value, target, service):
    assert admitted(context, value, target, service)


@step('the settings keep "{value}" from "{target}" of "{service}"')
def step_keep(context, value, target, service):
    assert not admitted(context, value, target, service)


@step('the settings keep "" from "{target}" of "{service}"')
def step_keep_unnamed(context, target, service):
    assert not admitted(context, "", target, service)


FILES = Path("features/settings_files")
WANTED = re.compile(r"// want: ([a-z-]+)")


def wanted(file):
    """Returns the line and code of each problem that a file's comments want."""
    written = enumerate(Path(file).read_text("utf-8").splitlines(), 1)
    return [(number, code) for number, line in written for code in WANTED.findall(line)]


@then("the settings problems are the ones that the file's comments want")
def step_wanted(context):
    assert context.loaded is None
    found = [(item.location.line, item.code) for item in context.problems]
    file = context.problems[0].location.file
    assert found == wanted(file), "\n".join(map(str, context.problems))
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


@then("the settings files want every code that the checks know")
def step_every_code(context):
    known = {
        value for name, value in vars(ProblemCode).items() if not name.startswith("_")
    }
    tested = {code for file in FILES.iterdir() for _, code in wanted(file)}
    assert tested == known, tested ^ known


@then("arbitrary and damaged settings texts give settings or problems")
def step_any_text(context):
    example = Path("examples/fremantle.json").read_text("utf-8")
    node = Path("examples/node-box-office-1.json").read_text("utf-8")

    @settings(derandomize=True, max_examples=150, deadline=None)
    @given(st.data())
    def check(data):
        text = data.draw(st.sampled_from([example, node]) | st.text(max_size=40))
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


@then("the settings schemas are current")
def step_schema(context):
    for name, text in schema_texts().items():
        assert (SCHEMA_DIRECTORY / name).read_text("utf-8") == text, name


def unknown_names(node, schema, root):
    """Yields the names of a node that a schema doesn't allow."""
    while "$ref" in schema:
        schema = root["$defs"][schema["$ref"].rpartition("/")[2]]
    for item in getattr(node, "items", ()):
        yield from unknown_names(item, schema["items"], root)
    for member in getattr(node, "members", ()):
        known = schema.get("properties", {})
        below = known.get(member.name, schema["additionalProperties"])
        if below is False:
            yield member.name
        else:
            yield from unknown_names(member.value, below, root)


@then("the settings schemas know every name that the example files use")
def step_schema_names(context):
    for file in Path("examples").glob("*.json"):
        kind = "node" if file.name.startswith("node") else "deployment"
        schema = json.loads((SCHEMA_DIRECTORY / f"{kind}.schema.json").read_text())
        root, _ = parse(file.read_text("utf-8"), file.name)
        assert list(unknown_names(root, schema, schema)) == [], file
    wrong, _ = parse('{"nodes": 1}', "a")
    assert list(unknown_names(wrong, schema, schema)) == ["nodes"]


@then("the settings time the lease as the ownership policy does")
def step_defaults(context):
    policy = OwnershipSettings()
    for item in fields(Ownership):
        assert getattr(Ownership(), item.name) == getattr(policy, item.name), item


CLASHING = st.fixed_dictionaries(
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


def every_point(loaded):
    """Yields each combination of service, place and key that a file names."""
    scopes = loaded.branches
    for name, service in loaded.services.items():
        keys = {s.key for s in scopes if s.service == name and s.key}
        for zone in service.availability_zones:
            named = {
                s.place.upstream for s in scopes if s.place.availability_zone == zone
            }
            for upstream in {"", *named}:
                for key in {None, *keys} if service.keyed else {None}:
                    yield name, Place(REGION, zone, upstream), key


@then("the settings checks find what a look at every point would find")
def step_points(context):
    found_codes = set()

    @settings(derandomize=True, max_examples=200, deadline=None)
    @given(st.dictionaries(SPOTS, CLASHING, max_size=6))
    @example(
        {
            (PLACES[-1], ()): {"deadlines": {"max_ms": 500}},
            ((), ("box-office", "show-7")): {"deadlines": {"default_ms": 900}},
        }
    )
    def check(written):
        content = deployment_file()
        for (place, subject), groups in written.items():
            branch(content, place, subject)["settings"] = groups
        root, _ = parse(as_text(content), "a")
        file, problems = convert(DeploymentFile, root)
        assert problems == ()
        loaded = build_deployment(file)
        quick = tree_checks.check_tree(loaded)
        with patch.object(tree_checks, "combinations", every_point):
            thorough = tree_checks.check_tree(loaded)
        assert quick == thorough
        found_codes.update(problem.code for problem in quick)

    check()
    assert found_codes == {"unused-setting", "impossible-value"}


@then("a settings name with a line break at its end is refused")
def step_line_break(context):
    loaded, problems = load_deployment(as_text(deployment_file(deployment="a\n")), "a")
    assert loaded is None
    assert [problem.code for problem in problems] == ["bad-name"]
