"""Turns nodes of a settings file into typed data, reporting all problems.

The expected shape is given by frozen data classes whose fields carry their
bounds as `msgspec.Meta`. Unlike a decoder that stops at the first problem,
`convert` goes on with the rest of the file, so that one run reports all.
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
UNITS = frozenset({"s", "ms", "us", "min", "h", "bytes", "kb", "mb", "percent"})
LONGEST_SHOWN_CHARS = 60
VALUE_WITH_UNIT = re.compile(r"\s*[-+]?\d+(\.\d+)?\s*[A-Za-z%]{1,7}\s*")


@cache
def _hints(kind: type) -> dict[str, Any]:
    """Returns the types of a data class's fields with their bounds."""
    return get_type_hints(kind, include_extras=True)


class Failed:
    """Marks a value that could not be converted."""


FAILED = Failed()


def convert(expected: Any, node: Node, path: Path = ()) -> tuple[Any, Problems]:
    """Converts a node to the expected type.

    Args:
        expected: A data class, `Annotated` type, builtin, tuple or mapping type.
        node: The node to convert.
        path: Names from the root of the file down to the node.

    Returns:
        The value, or `FAILED` where nothing of it is usable, and the problems.
    """
    if get_origin(expected) is Annotated:
        base, *notes = get_args(expected)
        return _convert_bounded(base, notes, node, path)
    if get_origin(expected) in (Union, UnionType):
        (base,) = (part for part in get_args(expected) if part is not NoneType)
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
    """Returns the form of a path that people read."""
    return ".".join(path)


def _problem(code: str, node: Node | MemberNode, path: Path, detail: str) -> Problem:
    """Builds a problem at a node's position."""
    return Problem(code, node.location, path_text(path), detail)


def _describe(node: Node) -> str:
    """Names the kind of value that a node holds."""
    match node:
        case ObjectNode():
            return "an object"
        case ListNode():
            return "a list"
        case ScalarNode(value=bool()):
            return "true or false"
        case ScalarNode(value=str()):
            return "a text"
        case ScalarNode(value=None):
            return "null"
    return "a number"


def _wrong_type(wanted: str, node: Node, path: Path) -> tuple[Failed, Problems]:
    """Returns the result for a value of another type."""
    detail = f"expected {wanted}, found {_describe(node)}"
    return FAILED, (_problem(ProblemCode.WRONG_TYPE, node, path, detail),)


def _convert_scalar(
    expected: type, node: Node, path: Path
) -> tuple[int | float | bool | str | Failed, Problems]:
    """Converts a text, number or boolean."""
    value = node.value if isinstance(node, ScalarNode) else None
    match expected.__name__, value:
        case "bool", bool():
            return value, ()
        case "str", str():
            return value, ()
        case "int" | "float", str() if VALUE_WITH_UNIT.fullmatch(value):
            detail = f"write {value!r} as a plain number; the unit is in the name"
            return FAILED, (_problem(ProblemCode.WRONG_UNIT, node, path, detail),)
        case "int", int() if not isinstance(value, bool):
            return value, ()
        case "float", int() | float() if not isinstance(value, bool):
            return _to_float(value, node, path)
    wanted = {"int": "a whole number", "float": "a number", "str": "a text"}
    return _wrong_type(wanted.get(expected.__name__, "true or false"), node, path)


def _to_float(
    value: int | float, node: Node, path: Path
) -> tuple[float | Failed, Problems]:
    """Converts a number to a float if it fits one."""
    try:
        return float(value), ()
    except OverflowError:
        detail = "the number is too large"
        return FAILED, (_problem(ProblemCode.IMPOSSIBLE, node, path, detail),)


def _convert_bounded(
    base: Any, notes: list[Meta], node: Node, path: Path
) -> tuple[Any, Problems]:
    """Converts a value and checks the bounds of its type."""
    value, problems = convert(base, node, path)
    if value is FAILED:
        return value, problems
    broken = [text for note in notes for text in _broken_bounds(note, value)]
    if not broken:
        return value, problems
    code = ProblemCode.BAD_NAME if isinstance(value, str) else ProblemCode.IMPOSSIBLE
    code = next((_extra(note, "code") for note in notes if note.extra), code)
    found = tuple(_problem(code, node, path, text) for text in broken)
    return FAILED, problems + found


def _extra(note: Meta, name: str) -> Any:
    """Returns a note of our own on a type, or None."""
    return (note.extra or {}).get(name)


def _broken_bounds(note: Meta, value: Any) -> list[str]:
    """Returns a sentence for each bound that a value breaks."""
    checks = (
        (note.ge, lambda bound: value >= bound, "must be at least {}"),
        (note.gt, lambda bound: value > bound, "must be more than {}"),
        (note.le, lambda bound: value <= bound, "must be at most {}"),
        (note.lt, lambda bound: value < bound, "must be less than {}"),
        (
            note.min_length,
            lambda bound: len(value) >= bound,
            "needs {} or more characters",
        ),
        (note.pattern, lambda bound: re.fullmatch(bound, value), "must match {}"),
    )
    hidden = _extra(note, "secret") or len(repr(value)) > LONGEST_SHOWN_CHARS
    shown = "the value" if hidden else repr(value)
    return [
        f"{shown} {text.format(bound)}"
        for bound, holds, text in checks
        if bound is not None and not holds(bound)
    ]


def _convert_choice(
    choices: tuple[str, ...], node: Node, path: Path
) -> tuple[str | Failed, Problems]:
    """Converts one of a few texts."""
    value = node.value if isinstance(node, ScalarNode) else None
    if isinstance(value, str) and value in choices:
        return value, ()
    return _wrong_type(f"one of {', '.join(choices)}", node, path)


def _convert_address(
    expected: type, node: Node, path: Path
) -> tuple[Address | str | Failed, Problems]:
    """Converts an IP number, with a port where one is expected."""
    if not isinstance(node, ScalarNode) or not isinstance(node.value, str):
        return _wrong_type("an address as text", node, path)
    parsed = (parse_address if expected is Address else parse_ip)(node.value)
    if parsed is not None:
        return parsed, ()
    wanted = "an IP number and port" if expected is Address else "an IP number"
    detail = f"{node.value!r} is not {wanted}"
    return FAILED, (_problem(ProblemCode.BAD_ADDRESS, node, path, detail),)


def _convert_list(
    item: Any, node: Node, path: Path
) -> tuple[tuple[Any, ...] | Failed, Problems]:
    """Converts a list and leaves out the items that failed."""
    if not isinstance(node, ListNode):
        return _wrong_type("a list", node, path)
    results = [
        convert(item, child, (*path, str(index)))
        for index, child in enumerate(node.items)
    ]
    values = tuple(value for value, _ in results if value is not FAILED)
    return values, tuple(problem for _, found in results for problem in found)


def _distinct(
    node: ObjectNode, path: Path
) -> tuple[tuple[MemberNode, ...], list[Problem]]:
    """Returns the first member of each name and a problem for each repeat."""
    first: dict[str, MemberNode] = {}
    problems = []
    for member in node.members:
        if member.name in first:
            line = first[member.name].location.line
            detail = f"the name stands already in line {line}"
            code = ProblemCode.DUPLICATE_NAME
            problems.append(_problem(code, member, (*path, member.name), detail))
        first.setdefault(member.name, member)
    return tuple(first.values()), problems


def _convert_mapping(
    name: Any, value: Any, node: Node, path: Path
) -> tuple[Map[str, Any] | Failed, Problems]:
    """Converts an object whose names the user chooses."""
    if not isinstance(node, ObjectNode):
        return _wrong_type("an object", node, path)
    members, problems = _distinct(node, path)
    converted = {}
    for member in members:
        below = (*path, member.name)
        as_node = ScalarNode(member.name, member.location)
        key, wrong_name = convert(name, as_node, below)
        item, wrong_item = convert(value, member.value, below)
        problems += (*wrong_name, *wrong_item)
        if key is not FAILED and item is not FAILED:
            converted[key] = item
    return Map(converted), tuple(problems)


def _convert_members(
    expected: type, node: ObjectNode, path: Path
) -> tuple[dict[str, Any], list[Problem]]:
    """Converts the known members of an object; failed ones are left out."""
    hints = _hints(expected)
    known = [item.name for item in fields(expected)]
    members, problems = _distinct(node, path)
    converted = {}
    for member in members:
        below = (*path, member.name)
        if member.name not in known:
            problems.append(_unknown(member, below, known))
            continue
        value, found = convert(hints[member.name], member.value, below)
        problems += found
        if value is not FAILED:
            converted[member.name] = value
    return converted, problems


def _unknown(member: MemberNode, path: Path, known: list[str]) -> Problem:
    """Builds the problem of a name that the file format doesn't have."""
    stem = _without_unit(member.name)
    same = [name for name in known if _without_unit(name) == stem]
    if same:
        detail = f"the unit is another one: write {same[0]}"
        return _problem(ProblemCode.WRONG_UNIT, member, path, detail)
    close = difflib.get_close_matches(member.name, known, n=1)
    hint = f"did you mean {close[0]}?" if close else f"known: {', '.join(known)}"
    return _problem(ProblemCode.UNKNOWN_NAME, member, path, f"unknown name; {hint}")


def _without_unit(name: str) -> str:
    """Returns a setting's name without the unit at its end."""
    stem, _, unit = name.rpartition("_")
    return stem if stem and unit.lower() in UNITS else name


def _convert_object(
    expected: type, node: Node, path: Path
) -> tuple[Any | Failed, Problems]:
    """Converts an object to a data class, with defaults for failed members."""
    if not isinstance(node, ObjectNode):
        return _wrong_type("an object", node, path)
    converted, problems = _convert_members(expected, node, path)
    written = {member.name for member in node.members}
    required = [
        item.name
        for item in fields(expected)
        if item.default is MISSING and item.default_factory is MISSING
    ]
    problems += (
        _problem(ProblemCode.MISSING, node, (*path, name), f"{name} is missing")
        for name in required
        if name not in written
    )
    usable = all(name in converted for name in required)
    return (expected(**converted) if usable else FAILED), tuple(problems)


def _convert_branch(node: Node, path: Path) -> tuple[SettingsBranch | Failed, Problems]:
    """Converts the inherited settings of a branch, of which all are optional."""
    if not isinstance(node, ObjectNode):
        return _wrong_type("an object", node, path)
    hints = _hints(Effective)
    members, problems = _distinct(node, path)
    leaves: list[Leaf] = []
    for member in members:
        below = (*path, member.name)
        if member.name not in hints:
            problems.append(_unknown(member, below, list(hints)))
        elif not isinstance(member.value, ObjectNode):
            problems += _wrong_type("an object", member.value, below)[1]
        else:
            found, wrong = _convert_group(hints[member.name], member, below)
            leaves += found
            problems += wrong
    return SettingsBranch(tuple(leaves)), tuple(problems)


def _convert_group(
    expected: type, member: MemberNode, path: Path
) -> tuple[list[Leaf], list[Problem]]:
    """Converts one group of inherited settings, such as the limits."""
    values, problems = _convert_members(expected, member.value, path)
    lines: dict[str, SourceLocation] = {}
    for item in member.value.members:
        lines.setdefault(item.name, item.location)
    leaves = [
        Leaf(member.name, name, value, lines[name]) for name, value in values.items()
    ]
    return leaves, problems
