"""Builders of odd store objects, as a faulty writer leaves them.

In the templates, `NAME` stands for the object's name, `REVISION` for its revision,
and `CONTENT` for a content that is valid for its kind.
"""

from __future__ import annotations

import msgspec

from rosemarydeal.core.decoding import MAX_INTEGER

__all__ = [
    "ODD_CONFIGURATIONS",
    "ODD_HEARTBEATS",
    "ODD_INSTANCES",
    "ODD_MEMBERS",
    "ODD_OBJECTS",
    "ODD_TABLES",
    "an_object",
    "an_odd_configuration",
    "an_odd_member",
    "an_odd_object",
    "an_odd_table",
    "nested",
]

# The decoder of JSON fails at about a thousand levels, depending on the stack.
DEEP = 5000
SHALLOW = 100
HUGE = msgspec.Raw(b"1" + b"0" * 30)
METADATA = b'{"name":"NAME","rev":REVISION}'


def nested(levels):
    """Returns arrays within each other."""
    return b"[" * levels + b"]" * levels


def nested_objects(levels):
    """Returns objects within each other."""
    return b'{"a":' * levels + b"1" + b"}" * levels


def _with_content(content):
    return b'{"metadata":%s,"spec":%s}' % (METADATA, content)


def an_object(name, content):
    """Returns the bytes of an object with a content.

    Args:
        name: Name under which the store files it.
        content: Its content, encoded.
    """
    return _with_content(content).replace(b"NAME", name.encode())


_ODD_CONTENTS = {
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
    **{label: _with_content(content) for label, content in _ODD_CONTENTS.items()},
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


ODD_MEMBERS = {
    "an unknown field nested 5000 levels": {"extra": msgspec.Raw(nested(DEEP))},
    "an unknown field nested 100 levels": {"extra": msgspec.Raw(nested(SHALLOW))},
    "port 70000": {"peer": {"host": "127.0.0.1", "port": 70000}},
    "port 0": {"peer": {"host": "127.0.0.1", "port": 0}},
    "port -1": {"peer": {"host": "127.0.0.1", "port": -1}},
    "a port beyond 64 bits": {"peer": {"host": "127.0.0.1", "port": HUGE}},
    "a host with a NUL": {"peer": {"host": "127.0.0.1\0", "port": 7000}},
    "a long label as host": {"peer": {"host": "a" * 300, "port": 7000}},
    "a name as host": {"peer": {"host": "vm.example", "port": 7000}},
    "no host": {"peer": {"host": "", "port": 7000}},
    "slots beyond 64 bits": {"slots": HUGE},
    "slots beyond a float": {"slots": msgspec.Raw(b"1" + b"0" * 400)},
    "slots beyond any upstream": {"slots": 2**40},
    "negative slots": {"slots": -1},
    "a pace of 1e300": {"pace": 1e300},
    "a negative pace": {"pace": -1.0},
    "a start beyond 64 bits": {"born_ms": HUGE},
    "a negative start": {"born_ms": -1},
    "an endless instance": {"instance": "i" * 100_000},
    "an instance with a line break": {"instance": "i\r\nx: y"},
    "an instance that is not ASCII": {"instance": "i-\u00f6"},
    "an endless zone": {"zone": "z" * 100_000},
    "an endless service": {"service": "s" * 100_000},
}
"""Changes to a valid member that make it odd, by what is odd about it."""


ODD_TABLES = {
    "an unknown field nested 5000 levels": {"extra": msgspec.Raw(nested(DEEP))},
    "an unknown field nested 100 levels": {"extra": msgspec.Raw(nested(SHALLOW))},
    "a highest token beyond 64 bits": {"top_token": HUGE},
    "the highest token that 64 bits hold": {"top_token": MAX_INTEGER},
    "a token above its highest": {"ranges": [[0, 0, MAX_INTEGER]]},
    "a negative highest token": {"top_token": -1},
    "a token beyond 64 bits": {"ranges": [[0, 0, HUGE]]},
    "a negative token": {"ranges": [[0, 0, -5]]},
    "a first key beyond 64 bits": {"ranges": [[0, 0, 1], [HUGE, 0, 1]]},
    "an owner beyond 64 bits": {"ranges": [[0, HUGE, 1]]},
    "an era beyond 64 bits": {"era": HUGE},
    "a suspicion beyond 64 bits": {
        "suspicions": [{"node": "vm-a", "by": "vm-b", "number": HUGE}]
    },
}
"""Changes to a valid table that make it odd, by what is odd about them."""


def an_odd_table(odd, content):
    """Returns the content of a table that is odd.

    Args:
        odd: What is odd about it, a key of `ODD_TABLES`.
        content: Content of a valid table.
    """
    return msgspec.json.encode({**msgspec.json.decode(content), **ODD_TABLES[odd]})


def _a_route(**changes):
    spec = {"hostname": "h", "path_prefix": "/", "kind": "idempotent"}
    spec |= {"timeout_ms": 1000, "service": "box-office", **changes}
    return {"type": "routes", "metadata": {"name": "odd"}, "spec": spec}


def _a_service(**changes):
    return {"type": "services", "metadata": {"name": "odd"}, "spec": changes}


def _limits(**changes):
    return {"type": "limits", "metadata": {}, "spec": changes}


ODD_RESOURCES = {
    "a route nested 5000 levels": _a_route(extra=msgspec.Raw(nested(DEEP))),
    "a route nested 100 levels": _a_route(extra=msgspec.Raw(nested(SHALLOW))),
    "an unknown resource nested 5000 levels": {
        "type": "novelties",
        "metadata": {"name": "odd"},
        "spec": msgspec.Raw(nested(DEEP)),
    },
    "a time-out of 1e300": _a_route(timeout_ms=1e300),
    "a time-out beyond a float": _a_route(timeout_ms=msgspec.Raw(b"1e999")),
    "a negative time-out": _a_route(timeout_ms=-1),
    "a priority beyond a float": _a_route(priority=msgspec.Raw(b"1" + b"0" * 400)),
    "attempts beyond 64 bits": _a_route(attempts=HUGE),
    "a weight of 1e300": _a_route(backends=[{"service": "s", "weight": 1e300}]),
    "a negative weight": _a_route(backends=[{"service": "s", "weight": -1}]),
    "an endless host": _a_route(hostname="h" * 100_000),
    "a health path that is not ASCII": _a_service(health_path="/\u00f6"),
    "a health path with a line break": _a_service(health_path="/a\r\nx: y"),
    "connections beyond a float": _a_service(max_conns=msgspec.Raw(b"1" + b"0" * 400)),
    "a cold rate of 1e300": _a_service(cold_per_s=1e300),
    "a negative cold period": _a_service(cold_period_s=-1),
    "a body limit beyond 64 bits": _limits(max_body_bytes=HUGE),
    "a negative idle time-out": _limits(idle_timeout_ms=-1),
}
"""Resources that make a configuration odd, by what is odd about them."""


def an_odd_configuration(odd, configuration):
    """Returns the content of a configuration that is odd.

    Args:
        odd: What is odd about it: a key of `ODD_RESOURCES`, or its version.
        configuration: Content of a valid configuration.
    """
    changes = {}
    match odd:
        case "a version beyond 64 bits":
            changes["version"] = HUGE
        case "a negative version":
            changes["version"] = -1
        case "nothing but a number":
            return b"7"
        case _:
            changes["resources"] = [*configuration["resources"], ODD_RESOURCES[odd]]
    return msgspec.json.encode({**configuration, **changes})


ODD_CONFIGURATIONS = (
    *ODD_RESOURCES,
    "a version beyond 64 bits",
    "a negative version",
    "nothing but a number",
)
"""What is odd about a configuration."""


ODD_HEARTBEATS = {
    "an unknown field nested 5000 levels": {"extra": msgspec.Raw(nested(DEEP))},
    "an unknown field nested 100 levels": {"extra": msgspec.Raw(nested(SHALLOW))},
    "slots beyond a float": {"slots": msgspec.Raw(b"1" + b"0" * 400)},
    "slots beyond 64 bits": {"slots": HUGE},
    "negative slots": {"slots": -1},
    "a sequence number beyond 64 bits": {"seq": HUGE},
    "a start beyond 64 bits": {"born": HUGE},
    "a negative start": {"born": -1},
    "a cold time of 1e300": {"cold_left_ms": 1e300},
    "a port beyond 64 bits": {"addr": "127.0.0.1:1" + "0" * 30},
    "a token beyond 64 bits": {"holds": [[0, 1, HUGE]]},
}
"""Changes to a valid heartbeat that make it odd, by what is odd about it."""

ODD_INSTANCES = {
    "an endless instance": "i" * 4000,
}
"""Instances of upstreams that can't be used, by what is odd about them."""


def an_odd_member(odd, member):
    """Returns the content of a member that is odd.

    Args:
        odd: What is odd about it, a key of `ODD_MEMBERS`.
        member: Content of a valid member.
    """
    return msgspec.json.encode({**member, **ODD_MEMBERS[odd]})


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
