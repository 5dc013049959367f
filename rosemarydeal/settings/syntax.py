"""Parses JSON with comments into nodes with positions.

Comments are replaced by spaces first, which preserves lines and columns. The
strict JSON parser then determines syntax and values, and PyYAML, which reads JSON
as flow collections, gives the lines of the same values. Strings are replaced by a
placeholder for PyYAML, because YAML allows other strings than JSON.
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

STRING_COMMENT_OR_TAB = re.compile(
    r'"(?:[^"\\\n]|\\.)*"?|//[^\n]*|/\*.*?(?:\*/|\Z)|\t',
    re.DOTALL,
)
STRING = re.compile(r'"(?:[^"\\\n]|\\.)*"')
STRING_PLACEHOLDER = '"x"'
NOT_NEWLINE = re.compile(r"[^\n]")
MAX_NESTING_DEPTH = 40
YAML_LOADER = getattr(yaml, "CSafeLoader", yaml.SafeLoader)


@dataclass(frozen=True, slots=True)
class ScalarNode:
    """A string, number, boolean or null."""

    value: Scalar
    location: SourceLocation


@dataclass(frozen=True, slots=True)
class ListNode:
    """A list."""

    items: tuple[Node, ...]
    location: SourceLocation


@dataclass(frozen=True, slots=True)
class MemberNode:
    """A name in an object and its value."""

    name: str
    value: Node
    location: SourceLocation


@dataclass(frozen=True, slots=True)
class ObjectNode:
    """An object, in which duplicate names are kept."""

    members: tuple[MemberNode, ...]
    location: SourceLocation


Node = ScalarNode | ListNode | ObjectNode


@dataclass(frozen=True, slots=True)
class _JsonObject:
    """Members of a JSON object in order, duplicates included."""

    items: tuple[tuple[str, object], ...]


class _NonJsonConstantError(ValueError):
    """Raised for NaN and the infinities, which JSON does not have."""


def parse(text: str, file: str) -> tuple[Node | None, tuple[Problem, ...]]:
    """Parses the text of a settings file.

    Args:
        text: Content of the file.
        file: Name of the file, used in positions.

    Returns:
        The root node and no problems, or None and the syntax problem.
    """
    json_text = blank_comments(text)
    try:
        value = json.loads(
            json_text,
            object_pairs_hook=lambda pairs: _JsonObject(tuple(pairs)),
            parse_constant=_reject_constant,
        )
        if _nesting_depth(value) > MAX_NESTING_DEPTH:
            return None, (
                _syntax_problem(file, 1, "lists and objects are nested too deeply"),
            )
        yaml_root = yaml.compose(
            STRING.sub(STRING_PLACEHOLDER, json_text), Loader=YAML_LOADER
        )
    except json.JSONDecodeError as error:
        return None, (_syntax_problem(file, error.lineno, error.msg),)
    except yaml.MarkedYAMLError as error:
        mark = error.problem_mark or error.context_mark
        line = mark.line + 1 if mark else 0
        return None, (_syntax_problem(file, line, str(error.problem)),)
    except yaml.YAMLError:
        return None, (
            _syntax_problem(
                file, 0, "the text contains a character that is not allowed"
            ),
        )
    except _NonJsonConstantError as error:
        return None, (_syntax_problem(file, 0, str(error)),)
    except (RecursionError, ValueError):
        return None, (
            _syntax_problem(file, 0, "the nesting is too deep or a number too long"),
        )
    return _attach_locations(value, yaml_root, file), ()


def blank_comments(text: str) -> str:
    """Replaces comments, and tabs outside strings, by spaces.

    Args:
        text: JSON with `//` and `/* */` comments.

    Returns:
        Text of the same length with the same line breaks.
    """
    return STRING_COMMENT_OR_TAB.sub(_blank_token, text)


def _blank_token(token: re.Match[str]) -> str:
    """Returns strings unchanged and other tokens as spaces."""
    text = token.group()
    return text if text.startswith('"') else NOT_NEWLINE.sub(" ", text)


def _reject_constant(name: str) -> None:
    """Rejects a constant that Python's parser accepts beyond JSON."""
    raise _NonJsonConstantError(f"{name} is not allowed in JSON")


def _syntax_problem(file: str, line: int, detail: str) -> Problem:
    """Builds the problem of a file that can't be parsed."""
    location = SourceLocation(file, line)
    return Problem(ProblemCode.SYNTAX, location, "", detail)


def _nesting_depth(value: object) -> int:
    """Returns how deeply lists and objects are nested."""
    match value:
        case _JsonObject(items):
            return 1 + max((_nesting_depth(child) for _, child in items), default=0)
        case list():
            return 1 + max((_nesting_depth(child) for child in value), default=0)
    return 0


def _attach_locations(value: object, yaml_node: yaml.Node, file: str) -> Node:
    """Combines a parsed value with the positions that PyYAML gives."""
    location = SourceLocation(file, yaml_node.start_mark.line + 1)
    match value:
        case _JsonObject(items):
            members = zip(items, yaml_node.value, strict=True)
            return ObjectNode(
                tuple(_attach_member_locations(*member, file) for member in members),
                location,
            )
        case list():
            pairs = zip(value, yaml_node.value, strict=True)
            return ListNode(
                tuple(
                    _attach_locations(child, child_node, file)
                    for child, child_node in pairs
                ),
                location,
            )
    return ScalarNode(value, location)


def _attach_member_locations(
    item: tuple[str, object], yaml_pair: tuple[yaml.Node, yaml.Node], file: str
) -> MemberNode:
    """Combines a name and its value with their positions."""
    name, value = item
    name_node, value_node = yaml_pair
    location = SourceLocation(file, name_node.start_mark.line + 1)
    return MemberNode(name, _attach_locations(value, value_node, file), location)
