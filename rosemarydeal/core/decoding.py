"""Turns bytes from outside the process into types, within explicit bounds.

The JSON and MessagePack decoders recurse over nested values, also over those that
they skip, and fail on deep nesting with an error of the interpreter, at a depth that
depends on the caller's stack. All processes must come to the same result, so that
the depth is checked before decoding, and every error of a decoder becomes
`Malformed`. The functions that split a text find its parts without decoding them,
so that one part that can't be decoded does not hide the others.
"""

from __future__ import annotations

import re
import socket
from collections.abc import Iterator
from typing import Annotated, TypeVar

import msgspec

from .errors import CodedError

__all__ = [
    "LAST_PORT",
    "MAX_DEPTH",
    "MAX_INTEGER",
    "MAX_PACE",
    "MAX_SLOTS",
    "Count",
    "Identifier",
    "Integer64",
    "Malformed",
    "Name",
    "Pace",
    "Port",
    "Slots",
    "check_depth",
    "check_ip_address",
    "decode_identifier",
    "decode_json",
    "decode_unchecked",
    "split_array",
    "split_object",
]

MAX_DEPTH = 64
MAX_NAME_LENGTH = 512
LAST_PORT = 65_535
# Integers up to this one are exact in each reader of JSON, and fit 64 bits.
MAX_COUNT = 2**53 - 1

# Fits 64 bits with a sign.
MAX_INTEGER = 2**63 - 1
# Far above what one VM runs concurrently, and how much slower one is than another.
MAX_SLOTS = 100_000
MAX_PACE = 1000.0

Count = Annotated[int, msgspec.Meta(ge=0, le=MAX_COUNT)]
# Part of a header or a path: printable ASCII without blanks.
Identifier = Annotated[
    str, msgspec.Meta(max_length=MAX_NAME_LENGTH, pattern=r"\A[!-~]*\Z")
]
Integer64 = Annotated[int, msgspec.Meta(ge=0, le=MAX_INTEGER)]
Name = Annotated[str, msgspec.Meta(min_length=1, max_length=MAX_NAME_LENGTH)]
Pace = Annotated[float, msgspec.Meta(ge=0.0, le=MAX_PACE)]
Slots = Annotated[int, msgspec.Meta(ge=0, le=MAX_SLOTS)]
Port = Annotated[int, msgspec.Meta(ge=1, le=LAST_PORT)]

_Value = TypeVar("_Value")
_OPENING, _CLOSING = b"[{", b"]}"
_BLANKS = b" \t\r\n"
# A string without an end reaches to the end of the text, so that a search over many
# quotes takes linear time.
_STRING = re.compile(rb'"[^"\\]*(?:\\.[^"\\]*)*(?:"|\\?\Z)', re.DOTALL)
_TOKEN = re.compile(_STRING.pattern + rb"|[\[{]+|[\]}]+|[,:]", re.DOTALL)
_TOO_DEEP = re.compile(rb"[\[{]{%d}" % (MAX_DEPTH + 1))
_NO_BRACKETS = bytes(set(range(256)) - set(_OPENING + _CLOSING))


class Malformed(CodedError):
    """Bytes from outside are no value of the expected type, or exceed a bound."""

    code = "malformed"


def decode_json(data: bytes | msgspec.Raw, value_type: type[_Value]) -> _Value:
    """Decodes a JSON text into a type.

    Raises:
        Malformed: If it is no value of the type, or is nested too deeply.
    """
    check_depth(bytes(data))
    return decode_unchecked(data, value_type)


def decode_unchecked(data: bytes | msgspec.Raw, value_type: type[_Value]) -> _Value:
    """Decodes a JSON text whose parts are checked later, each for itself.

    Raises:
        Malformed: If it is no value of the type, or can't be decoded for its depth.
    """
    try:
        return msgspec.json.decode(data, type=value_type)
    except (msgspec.MsgspecError, RecursionError) as error:
        raise Malformed(str(error)) from error


def check_depth(text: bytes) -> None:
    """Checks how deeply the arrays and objects of a JSON text are nested.

    Raises:
        Malformed: If they are nested too deeply, or not closed.
    """
    if text.count(b"[") + text.count(b"{") <= MAX_DEPTH:
        return
    brackets = _STRING.sub(b"", text).translate(None, _NO_BRACKETS)
    rounds = 0 if _TOO_DEEP.search(brackets) else MAX_DEPTH
    for _ in range(rounds):
        if not brackets:
            return
        # Removes the innermost level.
        brackets = brackets.replace(b"[]", b"").replace(b"{}", b"")
    if brackets:
        raise Malformed(f"nested deeper than {MAX_DEPTH} levels, or not closed")


def decode_identifier(text: bytes) -> str:
    """Decodes a part of a header or a path that names something.

    Raises:
        Malformed: If it is too long, or not printable ASCII without blanks.
    """
    try:
        return msgspec.convert(text.decode("ascii"), Identifier)
    except (UnicodeDecodeError, msgspec.ValidationError) as error:
        raise Malformed(str(error)) from error


def check_ip_address(host: str) -> None:
    """Checks that a host is an IP address, so that no name is looked up.

    Raises:
        ValueError: If it is not.
    """
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    try:
        socket.inet_pton(family, host)
    except OSError as error:
        raise ValueError(f"{host[:MAX_NAME_LENGTH]!r} is no IP address") from error


def split_object(text: bytes) -> dict[str, bytes]:
    """Returns the members of a JSON object, undecoded.

    Raises:
        Malformed: If the text is no object, or one of its names is no string.
    """
    members = {}
    for start, colon, end in _parts(text, b"{", b"}"):
        if colon is None:
            raise Malformed("a member of an object has no name")
        members[decode_json(text[start:colon], str)] = text[colon + 1 : end]
    return members


def split_array(text: bytes) -> list[bytes]:
    """Returns the elements of a JSON array, undecoded.

    Raises:
        Malformed: If the text is no array.
    """
    return [text[start:end] for start, _, end in _parts(text, b"[", b"]")]


def _parts(
    text: bytes, opening: bytes, closing: bytes
) -> Iterator[tuple[int, int | None, int]]:
    """Yields the start, the first colon and the end of each part of a container.

    Only nesting and strings are checked, as the parts are decoded one by one later.
    """
    first = len(text) - len(text.lstrip(_BLANKS))
    last = len(text.rstrip(_BLANKS)) - 1
    if last <= first or text[first:][:1] != opening or text[last:][:1] != closing:
        raise Malformed(f"no value between {opening!r} and {closing!r}")
    depth, start, colon = 0, first + 1, None
    for token in _TOKEN.finditer(text, first, last + 1):
        character = text[token.start()]
        if character in _OPENING:
            depth += token.end() - token.start()
        elif character in _CLOSING:
            depth -= token.end() - token.start()
            if depth <= 0:
                break
        elif depth == 1 and character == ord(":"):
            colon = colon or token.start()
        elif depth == 1 and character == ord(","):
            yield start, colon, token.start()
            start, colon = token.end(), None
    if depth != 0 or token.end() != last + 1:
        raise Malformed("brackets that do not match")
    if text[start:last].strip(_BLANKS):
        yield start, colon, last
