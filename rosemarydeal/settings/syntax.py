"""Parses JSON with comments into nodes that know their position.

Comments are blanked out first, which keeps every line and column. The strict
JSON parser then decides on syntax and values, and PyYAML, which reads JSON as
flow collections, gives the lines of the same values. It gets the text
with a placeholder for each string, since YAML allows other strings than JSON.
"""

from __future__ import annotations

import json
import re
from dataclasses import dataclass

import yaml

from rosemarydeal.core import SourceLocation

from .problems import Problem, ProblemCode

__all__ = ["ListNode", "MemberNode", "Node", "ObjectNode", "ScalarNode", "parse"]

Scalar = str | int | float | bool | None

TOKEN = re.compile(
    r'"(?:[^"\\\n]|\\.)*"?|//[^\n]*|/\*.*?(?:\*/|\Z)|\t',
    re.DOTALL,
)
STRING = re.compile(r'"(?:[^"\\\n]|\\.)*"')
ANY_STRING = '"x"'
NOT_NEWLINE = re.compile(r"[^\n]")
MAX_DEPTH = 40
LOADER = getattr(yaml, "CSafeLoader", yaml.SafeLoader)


@dataclass(frozen=True, slots=True)
class ScalarNode:
    """Holds a string, number, boolean or null."""

    value: Scalar
    location: SourceLocation


@dataclass(frozen=True, slots=True)
class ListNode:
    """Holds a list."""

    items: tuple[Node, ...]
    location: SourceLocation


@dataclass(frozen=True, slots=True)
class MemberNode:
    """Holds one name of an object and its value."""

    name: str
    value: Node
    location: SourceLocation


@dataclass(frozen=True, slots=True)
class ObjectNode:
    """Holds an object; a duplicate name appears as often as it was written."""

    members: tuple[MemberNode, ...]
    location: SourceLocation


Node = ScalarNode | ListNode | ObjectNode


@dataclass(frozen=True, slots=True)
class _Pairs:
    """Keeps the names of a JSON object in order, duplicates included."""

    items: tuple[tuple[str, object], ...]


class _ConstantError(ValueError):
    """Rejects NaN and the infinities, which JSON doesn't have."""


def parse(text: str, file: str) -> tuple[Node | None, tuple[Problem, ...]]:
    """Parses the text of a settings file.

    Args:
        text: Content of the file.
        file: Name of the file, used in positions.

    Returns:
        The root node and no problem, or None and the syntax problem.
    """
    plain = blank_comments(text)
    try:
        value = json.loads(
            plain,
            object_pairs_hook=lambda pairs: _Pairs(tuple(pairs)),
            parse_constant=_reject_constant,
        )
        if _depth(value) > MAX_DEPTH:
            return None, (_syntax(file, 1, "the nesting is too deep"),)
        marks = yaml.compose(STRING.sub(ANY_STRING, plain), Loader=LOADER)
    except json.JSONDecodeError as error:
        return None, (_syntax(file, error.lineno, error.msg),)
    except yaml.MarkedYAMLError as error:
        mark = error.problem_mark or error.context_mark
        line = mark.line + 1 if mark else 0
        return None, (_syntax(file, line, str(error.problem)),)
    except yaml.YAMLError:
        return None, (_syntax(file, 0, "a character is not allowed"),)
    except _ConstantError as error:
        return None, (_syntax(file, 0, str(error)),)
    except (RecursionError, ValueError):
        return None, (_syntax(file, 0, "the nesting or a number is too long"),)
    return _join(value, marks, file), ()


def blank_comments(text: str) -> str:
    """Replaces comments, and tabs between values, by spaces.

    Args:
        text: JSON with `//` and `/* */` comments.

    Returns:
        Text of the same length with every line break in place.
    """
    return TOKEN.sub(_blank_token, text)


def _blank_token(token: re.Match[str]) -> str:
    """Keeps strings as they are and blanks the other tokens."""
    found = token.group()
    return found if found.startswith('"') else NOT_NEWLINE.sub(" ", found)


def _reject_constant(name: str) -> None:
    """Raises for the constants that Python's parser would accept."""
    raise _ConstantError(f"{name} is not a number in JSON")


def _syntax(file: str, line: int, detail: str) -> Problem:
    """Builds the problem of a file that can't be parsed."""
    location = SourceLocation(file, line)
    return Problem(ProblemCode.SYNTAX, location, "", detail)


def _depth(value: object) -> int:
    """Returns how deeply lists and objects are nested."""
    match value:
        case _Pairs(items):
            return 1 + max((_depth(child) for _, child in items), default=0)
        case list():
            return 1 + max((_depth(child) for child in value), default=0)
    return 0


def _join(value: object, mark: yaml.Node, file: str) -> Node:
    """Joins a parsed value with the positions of the same text."""
    location = SourceLocation(file, mark.start_mark.line + 1)
    match value:
        case _Pairs(items):
            members = zip(items, mark.value, strict=True)
            return ObjectNode(
                tuple(_join_member(*member, file) for member in members), location
            )
        case list():
            pairs = zip(value, mark.value, strict=True)
            return ListNode(
                tuple(_join(child, at, file) for child, at in pairs), location
            )
    return ScalarNode(value, location)


def _join_member(
    item: tuple[str, object], marks: tuple[yaml.Node, yaml.Node], file: str
) -> MemberNode:
    """Joins one name and value with their positions."""
    name, value = item
    name_mark, value_mark = marks
    location = SourceLocation(file, name_mark.start_mark.line + 1)
    return MemberNode(name, _join(value, value_mark, file), location)
