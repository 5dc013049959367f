"""Builders of odd store objects, as a faulty writer leaves them.

In the templates, `NAME` stands for the object's name, `REVISION` for its revision,
and `CONTENT` for a content that is valid for its kind.
"""

from __future__ import annotations

import msgspec

__all__ = ["ODD_CONTENTS", "ODD_OBJECTS", "an_odd_object", "nested"]

# The decoder of JSON fails at about a thousand levels, depending on the stack.
DEEP = 5000
SHALLOW = 100
METADATA = b'{"name":"NAME","rev":REVISION}'


def nested(levels):
    """Returns arrays within each other."""
    return b"[" * levels + b"]" * levels


def nested_objects(levels):
    """Returns objects within each other."""
    return b'{"a":' * levels + b"1" + b"}" * levels


def _with_content(content):
    return b'{"metadata":%s,"spec":%s}' % (METADATA, content)


ODD_CONTENTS = {
    "content nested 5000 levels": nested(DEEP),
    "content nested 100 levels": nested(SHALLOW),
    "content of objects nested 5000 levels": nested_objects(DEEP),
    "content nested beside text with brackets": b'["\\"]}[{",%s]' % nested(DEEP),
    "content of another type": b"7",
    "no content": b"null",
    "content with a number too large": b'{"slots":1e999}',
    "content that is not UTF-8": b'{"zone":"\xff\xfe"}',
    "content with an unpaired surrogate": b'{"zone":"\\ud800"}',
}
"""Contents that are valid for no kind, by what is odd about them."""

ODD_OBJECTS = {
    **{label: _with_content(content) for label, content in ODD_CONTENTS.items()},
    "no object": b"7",
    "an empty object": b"{}",
    "nested 5000 levels": nested(DEEP),
    "metadata nested 5000 levels": b'{"metadata":%s,"spec":CONTENT}' % nested(DEEP),
    "metadata without a name": b'{"metadata":{"rev":REVISION},"spec":CONTENT}',
    "a name of another type": (
        b'{"metadata":{"name":7,"rev":REVISION},"spec":CONTENT}'
    ),
    "a name that is not UTF-8": (
        b'{"metadata":{"name":"\xff","rev":REVISION},"spec":CONTENT}'
    ),
    "a revision beyond 64 bits": (
        b'{"metadata":{"name":"NAME","rev":1%s},"spec":CONTENT}' % (b"0" * 20)
    ),
    "a revision of 5000 digits": (
        b'{"metadata":{"name":"NAME","rev":%s},"spec":CONTENT}' % (b"9" * 5000)
    ),
    "a revision above the store's": (
        b'{"metadata":{"name":"NAME","rev":1000000000},"spec":CONTENT}'
    ),
    "a negative revision": b'{"metadata":{"name":"NAME","rev":-1},"spec":CONTENT}',
}
"""Objects that must name nothing to use, by what is odd about them."""


def an_odd_object(odd, name, content=None):
    """Returns the bytes of an odd object.

    Args:
        odd: What is odd about it, a key of `ODD_OBJECTS`.
        name: Name under which the store files it.
        content: Content that is valid for its kind.
    """
    encoded = msgspec.json.encode(content or {})
    template = ODD_OBJECTS[odd].replace(b"NAME", name.encode())
    return template.replace(b"CONTENT", encoded)
