from behave import then
from hypothesis import given, settings
from hypothesis import strategies as st

from rosemarydeal.core import SliceId, key_hash, rendezvous_order, slice_of


@then("every key maps to one slice within range")
def step_range(context):
    @settings(derandomize=True, max_examples=200, deadline=None)
    @given(st.text(), st.integers(1, 5000))
    def check(key, slices):
        first = slice_of("box-office", key, slices)
        assert first == slice_of("box-office", key, slices)
        assert 0 <= first.index < slices
        assert first.carved == -1

    check()


@then("a carved key maps to its own slice only while it is carved")
def step_carved(context):
    base = slice_of("box-office", "show-7", 64)
    carved_slice = SliceId("box-office", base.index, key_hash("show-7"))
    assert slice_of("box-office", "show-7", 64, {carved_slice}) == carved_slice
    assert slice_of("box-office", "show-8", 64, {carved_slice}).carved == -1
    assert slice_of("box-office", "show-7", 64) == base


@then("rendezvous order is stable under removal")
def step_rendezvous(context):
    @settings(derandomize=True, max_examples=100, deadline=None)
    @given(st.text(), st.lists(st.text(), min_size=2, unique=True), st.data())
    def check(subject, names, data):
        removed = data.draw(st.sampled_from(names))
        all_names = rendezvous_order(subject, names)
        remaining = rendezvous_order(subject, [n for n in names if n != removed])
        assert [n for n in all_names if n != removed] == remaining

    check()
