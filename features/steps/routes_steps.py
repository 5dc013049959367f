from dataclasses import replace
from pathlib import Path

from behave import then
from hypothesis import given, settings
from hypothesis import strategies as st

from features.builders import incarnation
from rosemarydeal.core import TOKEN_RANKS, Address, Row, SliceId
from rosemarydeal.core.codes import CODES, find_code, render_table
from rosemarydeal.core.request_key import KeyRule, request_key
from rosemarydeal.core.routes import (
    CarvedRoute,
    RoutesReply,
    build_routes,
    decode_routes,
    encode_routes,
    route_of,
)

ENTRIES = {f"box-office-{n}": Address("10.0.0.1", 8000 + n) for n in range(620)}
KEY_RULE = KeyRule(segment=1)


def row(index, nodes, version=1, carved=-1):
    names = tuple(incarnation(f"box-office-{node}") for node in nodes)
    return Row(SliceId("box-office", index, carved), version, names)


def table(rows, slices):
    return build_routes("box-office", 7, slices, KEY_RULE, ENTRIES, rows)


@then("a decoded routing table has the owner and successors of each slice")
def step_round_trip(context):
    nodes = st.lists(st.integers(0, 619), max_size=3, unique=True)

    @settings(derandomize=True, max_examples=50, deadline=None)
    @given(st.lists(st.tuples(nodes, st.integers(0, 2**55)), min_size=1, max_size=9))
    def check(drawn):
        rows = [row(i, names, token) for i, (names, token) in enumerate(drawn)]
        rows.append(row(0, [3, 4], 9, carved=77))
        sent = RoutesReply(7, table(rows, len(drawn)))
        decoded = decode_routes(encode_routes(sent)).table
        for expected in rows:
            route = route_of(decoded, expected.slice)
            owners = tuple(ENTRIES[name.node] for name in expected.succession)
            assert (route.entries, route.token) == (
                owners,
                expected.version * TOKEN_RANKS,
            )

    check()


@then("a routing table of {slices:d} slices stays under a megabyte")
def step_size(context, slices):
    rows = [row(i, [i % 620, (i + 7) % 620, (i + 99) % 620]) for i in range(slices)]
    encoded = encode_routes(RoutesReply(7, table(rows, slices)))
    assert len(encoded) < 1_000_000, len(encoded)


@then("a damaged routing table is rejected")
def step_damaged(context):
    whole = table([row(0, [1, 2, 3])], 2)
    damaged = [
        replace(whole, names=whole.names[:-1]),
        replace(whole, tokens=whole.tokens + b"\0"),
        replace(whole, entries=whole.entries[:1]),
        replace(whole, carved=(CarvedRoute(1, (-1,), 1),)),
    ]
    for broken in damaged:
        try:
            decode_routes(encode_routes(RoutesReply(7, broken)))
        except ValueError:
            continue
        raise AssertionError(f"accepted: {broken}")


@then("the key of a request is read from the place that the rule names")
def step_found(context):
    assert request_key(KeyRule(segment=1), b"/seats/a%20b?x=1", ()) == "a b"
    assert request_key(KeyRule(query="show"), b"/seats?show=7&x=1", ()) == "7"
    assert request_key(KeyRule(header="X-Club"), b"/", ((b"x-club", b"v"),)) == "v"


@then("a request with an ambiguous key has none")
def step_ambiguous(context):
    for target in (b"/seats//7", b"/seats/%2e%2e", b"/./7", b"/seats", b"/s/a%2fb"):
        assert request_key(KeyRule(segment=1), target, ()) is None, target
    assert request_key(KeyRule(query="show"), b"/?show=7&show=8", ()) is None
    twice = ((b"x-club", b"v"), (b"x-club", b"w"))
    assert request_key(KeyRule(header="x-club"), b"/", twice) is None


@then("the page of codes contains exactly the listed codes")
def step_page(context):
    page = Path("docs/CODES.md").read_text("utf-8").splitlines()
    rows = [line for line in page if line.startswith("|")]
    assert rows == render_table().splitlines()


@then("no code is listed twice for one outcome")
def step_unique(context):
    assert len({(code.name, code.outcome) for code in CODES}) == len(CODES)
    for code in CODES:
        assert find_code(code.name, code.outcome) is code
