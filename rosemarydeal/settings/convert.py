"""Converts the nodes of a settings file to typed data.

Frozen data classes define the expected structure; their fields carry bounds as
`msgspec.Meta`. Unlike a decoder that stops at the first error, `convert`
continues with the rest of the file, so that one run reports all problems.
"""

from __future__ import annotations

import difflib
import re
from collections.abc import Mapping
from dataclasses import MISSING, fields, is_dataclass
from functools import cache
from types import NoneType, UnionType
from typing import Annotated, Any, Literal, Union, get_args, get_origin, get_type_hints

from immutables import Map
from msgspec import Meta

from rosemarydeal.core import Address, SourceLocation

from .leaves import Effective
from .problems import Problem, ProblemCode
from .syntax import ListNode, MemberNode, Node, ObjectNode, ScalarNode
from .values import IpAddress, Leaf, SettingsBranch, parse_address, parse_ip

__all__ = ["FAILED", "Failed", "convert", "path_text"]

Path = tuple[str, ...]
Problems = tuple[Problem, ...]
UNIT_SUFFIXES = frozenset({"s", "ms", "us", "min", "h", "bytes", "kb", "mb", "percent"})
SHOWN_VALUE_MAX_CHARS = 60
NUMBER_WITH_UNIT = re.compile(r"\s*[-+]?\d+(\.\d+)?\s*[A-Za-z%]{1,7}\s*")


@cache
def _field_types(data_class: type) -> dict[str, Any]:
    """Returns the field types of a data class, including their bounds."""
    return get_type_hints(data_class, include_extras=True)


class Failed:
    """Type of `FAILED`, the result for a value that could not be converted."""


FAILED = Failed()


def convert(expected: Any, node: Node, path: Path = ()) -> tuple[Any, Problems]:
    """Converts a node to the expected type.

    Args:
        expected: A data class, `Annotated` type, builtin, tuple or mapping type.
        node: The node to convert.
        path: Names from the root of the file down to the node.

    Returns:
        The value, or `FAILED` if no part of it is usable, and the problems.
    """
    if get_origin(expected) is Annotated:
        base, *metas = get_args(expected)
        return _convert_bounded(base, metas, node, path)
    if get_origin(expected) in (Union, UnionType):
        (base,) = (arg for arg in get_args(expected) if arg is not NoneType)
        return convert(base, node, path)
    if get_origin(expected) is Literal:
        return _convert_choice(get_args(expected), node, path)
    if get_origin(expected) is tuple:
        return _convert_list(get_args(expected)[0], node, path)
    if get_origin(expected) is Mapping:
        return _convert_mapping(*get_args(expected), node, path)
    if expected is SettingsBranch:
        return _convert_branch(node, path)
    if expected is Address or expected is IpAddress:
        return _convert_address(expected, node, path)
    if is_dataclass(expected):
        return _convert_object(expected, node, path)
    return _convert_scalar(expected, node, path)


def path_text(path: Path) -> str:
    """Returns a path as text, its names joined by dots."""
    return ".".join(path)


def _problem(code: str, node: Node | MemberNode, path: Path, detail: str) -> Problem:
    """Builds a problem at a node's position."""
    return Problem(code, node.location, path_text(path), detail)


def _describe(node: Node) -> str:
    """Describes the type of a node's value."""
    match node:
        case ObjectNode():
            return "an object"
        case ListNode():
            return "a list"
        case ScalarNode(value=bool()):
            return "true or false"
        case ScalarNode(value=str()):
            return "a string"
        case ScalarNode(value=None):
            return "null"
    return "a number"


def _wrong_type(expected: str, node: Node, path: Path) -> tuple[Failed, Problems]:
    """Returns `FAILED` and the problem of a value that has the wrong type."""
    detail = f"expected {expected}, found {_describe(node)}"
    return FAILED, (_problem(ProblemCode.WRONG_TYPE, node, path, detail),)


def _convert_scalar(
    expected: type, node: Node, path: Path
) -> tuple[int | float | bool | str | Failed, Problems]:
    """Converts a string, number or boolean."""
    value = node.value if isinstance(node, ScalarNode) else None
    match expected.__name__, value:
        case "bool", bool():
            return value, ()
        case "str", str():
            return value, ()
        case "int" | "float", str() if NUMBER_WITH_UNIT.fullmatch(value):
            detail = (
                f"write {value!r} as a plain number; the setting's name gives the unit"
            )
            return FAILED, (_problem(ProblemCode.WRONG_UNIT, node, path, detail),)
        case "int", int() if not isinstance(value, bool):
            return value, ()
        case "float", int() | float() if not isinstance(value, bool):
            return _to_float(value, node, path)
    type_texts = {"int": "an integer", "float": "a number", "str": "a string"}
    return _wrong_type(type_texts.get(expected.__name__, "true or false"), node, path)


def _to_float(
    value: int | float, node: Node, path: Path
) -> tuple[float | Failed, Problems]:
    """Converts a number to a float, unless it is out of range."""
    try:
        return float(value), ()
    except OverflowError:
        detail = "the number is too large"
        return FAILED, (_problem(ProblemCode.IMPOSSIBLE, node, path, detail),)


def _convert_bounded(
    base: Any, metas: list[Meta], node: Node, path: Path
) -> tuple[Any, Problems]:
    """Converts a value and checks it against the bounds of its type."""
    value, problems = convert(base, node, path)
    if value is FAILED:
        return value, problems
    violations = [text for meta in metas for text in _violated_bounds(meta, value)]
    if not violations:
        return value, problems
    code = ProblemCode.BAD_NAME if isinstance(value, str) else ProblemCode.IMPOSSIBLE
    code = next((_extra_entry(meta, "code") for meta in metas if meta.extra), code)
    bound_problems = tuple(_problem(code, node, path, text) for text in violations)
    return FAILED, problems + bound_problems


def _extra_entry(meta: Meta, name: str) -> Any:
    """Returns an entry of a type's `extra` metadata, or None."""
    return (meta.extra or {}).get(name)


def _violated_bounds(meta: Meta, value: Any) -> list[str]:
    """Returns a message for each bound that a value violates."""
    checks = (
        (meta.ge, lambda bound: value >= bound, "must be at least {}"),
        (meta.gt, lambda bound: value > bound, "must be greater than {}"),
        (meta.le, lambda bound: value <= bound, "must be at most {}"),
        (meta.lt, lambda bound: value < bound, "must be less than {}"),
        (
            meta.min_length,
            lambda bound: len(value) >= bound,
            "must have at least {} characters",
        ),
        (meta.pattern, lambda bound: re.fullmatch(bound, value), "must match {}"),
    )
    hidden = _extra_entry(meta, "secret") or len(repr(value)) > SHOWN_VALUE_MAX_CHARS
    value_text = "the value" if hidden else repr(value)
    return [
        f"{value_text} {text.format(bound)}"
        for bound, is_satisfied, text in checks
        if bound is not None and not is_satisfied(bound)
    ]


def _convert_choice(
    choices: tuple[str, ...], node: Node, path: Path
) -> tuple[str | Failed, Problems]:
    """Converts a string that must be one of the choices."""
    value = node.value if isinstance(node, ScalarNode) else None
    if isinstance(value, str) and value in choices:
        return value, ()
    return _wrong_type(f"one of {', '.join(choices)}", node, path)


def _convert_address(
    expected: type, node: Node, path: Path
) -> tuple[Address | str | Failed, Problems]:
    """Converts an IP address, with a port if one is expected."""
    if not isinstance(node, ScalarNode) or not isinstance(node.value, str):
        return _wrong_type("an address as a string", node, path)
    parsed = (parse_address if expected is Address else parse_ip)(node.value)
    if parsed is not None:
        return parsed, ()
    expected_text = "an IP address and port" if expected is Address else "an IP address"
    detail = f"{node.value!r} is not {expected_text}"
    return FAILED, (_problem(ProblemCode.BAD_ADDRESS, node, path, detail),)


def _convert_list(
    item_type: Any, node: Node, path: Path
) -> tuple[tuple[Any, ...] | Failed, Problems]:
    """Converts a list, leaving out items that fail conversion."""
    if not isinstance(node, ListNode):
        return _wrong_type("a list", node, path)
    results = [
        convert(item_type, child, (*path, str(index)))
        for index, child in enumerate(node.items)
    ]
    values = tuple(value for value, _ in results if value is not FAILED)
    return values, tuple(
        problem for _, item_problems in results for problem in item_problems
    )


def _without_duplicates(
    node: ObjectNode, path: Path
) -> tuple[tuple[MemberNode, ...], list[Problem]]:
    """Returns the first member of each name and a problem for each duplicate."""
    first_members: dict[str, MemberNode] = {}
    problems = []
    for member in node.members:
        if member.name in first_members:
            line = first_members[member.name].location.line
            detail = f"the name is already used on line {line}"
            code = ProblemCode.DUPLICATE_NAME
            problems.append(_problem(code, member, (*path, member.name), detail))
        first_members.setdefault(member.name, member)
    return tuple(first_members.values()), problems


def _convert_mapping(
    name_type: Any, value_type: Any, node: Node, path: Path
) -> tuple[Map[str, Any] | Failed, Problems]:
    """Converts an object whose names the user chooses."""
    if not isinstance(node, ObjectNode):
        return _wrong_type("an object", node, path)
    members, problems = _without_duplicates(node, path)
    converted = {}
    for member in members:
        member_path = (*path, member.name)
        name_node = ScalarNode(member.name, member.location)
        key, name_problems = convert(name_type, name_node, member_path)
        item, item_problems = convert(value_type, member.value, member_path)
        problems += (*name_problems, *item_problems)
        if key is not FAILED and item is not FAILED:
            converted[key] = item
    return Map(converted), tuple(problems)


def _convert_members(
    expected: type, node: ObjectNode, path: Path
) -> tuple[dict[str, Any], list[Problem]]:
    """Converts the known members of an object, leaving out those that fail."""
    field_types = _field_types(expected)
    known_names = [item.name for item in fields(expected)]
    members, problems = _without_duplicates(node, path)
    converted = {}
    for member in members:
        member_path = (*path, member.name)
        if member.name not in known_names:
            problems.append(_unknown_name(member, member_path, known_names))
            continue
        value, member_problems = convert(
            field_types[member.name], member.value, member_path
        )
        problems += member_problems
        if value is not FAILED:
            converted[member.name] = value
    return converted, problems


def _unknown_name(member: MemberNode, path: Path, known_names: list[str]) -> Problem:
    """Builds the problem of a name that the file format does not define."""
    stem = _without_unit_suffix(member.name)
    same_stem = [name for name in known_names if _without_unit_suffix(name) == stem]
    if same_stem:
        detail = f"the setting has another unit: write {same_stem[0]}"
        return _problem(ProblemCode.WRONG_UNIT, member, path, detail)
    matches = difflib.get_close_matches(member.name, known_names, n=1)
    hint = (
        f"did you mean {matches[0]}?"
        if matches
        else f"known names: {', '.join(known_names)}"
    )
    return _problem(ProblemCode.UNKNOWN_NAME, member, path, f"unknown name; {hint}")


def _without_unit_suffix(name: str) -> str:
    """Returns the name of a setting without its unit suffix."""
    stem, _, unit = name.rpartition("_")
    return stem if stem and unit.lower() in UNIT_SUFFIXES else name


def _convert_object(
    expected: type, node: Node, path: Path
) -> tuple[Any | Failed, Problems]:
    """Converts an object to a data class, with defaults for failed members."""
    if not isinstance(node, ObjectNode):
        return _wrong_type("an object", node, path)
    converted, problems = _convert_members(expected, node, path)
    present = {member.name for member in node.members}
    required = [
        item.name
        for item in fields(expected)
        if item.default is MISSING and item.default_factory is MISSING
    ]
    problems += (
        _problem(ProblemCode.MISSING, node, (*path, name), f"{name} is missing")
        for name in required
        if name not in present
    )
    complete = all(name in converted for name in required)
    return (expected(**converted) if complete else FAILED), tuple(problems)


def _convert_branch(node: Node, path: Path) -> tuple[SettingsBranch | Failed, Problems]:
    """Converts the inherited settings of a branch; all of them are optional."""
    if not isinstance(node, ObjectNode):
        return _wrong_type("an object", node, path)
    field_types = _field_types(Effective)
    members, problems = _without_duplicates(node, path)
    leaves: list[Leaf] = []
    for member in members:
        member_path = (*path, member.name)
        if member.name not in field_types:
            problems.append(_unknown_name(member, member_path, list(field_types)))
        elif not isinstance(member.value, ObjectNode):
            problems += _wrong_type("an object", member.value, member_path)[1]
        else:
            group_leaves, group_problems = _convert_group(
                field_types[member.name], member, member_path
            )
            leaves += group_leaves
            problems += group_problems
    return SettingsBranch(tuple(leaves)), tuple(problems)


def _convert_group(
    expected: type, member: MemberNode, path: Path
) -> tuple[list[Leaf], list[Problem]]:
    """Converts one group of inherited settings, such as the limits."""
    values, problems = _convert_members(expected, member.value, path)
    locations: dict[str, SourceLocation] = {}
    for item in member.value.members:
        locations.setdefault(item.name, item.location)
    leaves = [
        Leaf(member.name, name, value, locations[name])
        for name, value in values.items()
    ]
    return leaves, problems
