import hypothesis
import orjson
import pytest
from hypothesis import strategies as st

from laburnumsill.config import difference
from laburnumsill.core import codec
from laburnumsill.core import hashing

KEYS = st.sampled_from(["a", "b", "c", "ä", ""])
LEAVES = (
    st.none()
    | st.booleans()
    | st.integers(-2, 2)
    | st.sampled_from([0.0, -0.0, 1.0, 2.5, 1e300])
    | st.text(max_size=3)
)
VALUES = st.recursive(
    LEAVES,
    lambda inner: (
        st.lists(inner, max_size=3) | st.dictionaries(KEYS, inner, max_size=4)
    ),
    max_leaves=15,
)


def text(value):
    return orjson.dumps(value, option=orjson.OPT_SORT_KEYS)


@hypothesis.given(VALUES, VALUES)
@hypothesis.settings(max_examples=400, deadline=None, derandomize=True)
def test_applied_it_gives_the_newer_also_after_travelling(base, new):
    made = difference.difference(text(base), text(new))
    made = codec.decode(codec.encode(made))
    digest = hashing.digest(text(new))
    assert difference.apply_checked(text(base), made, digest) == text(new)
    assert made == difference.difference(text(base), text(new))
    assert (made == difference.Difference()) == (text(base) == text(new))


@hypothesis.given(VALUES, VALUES, VALUES)
@hypothesis.settings(max_examples=200, deadline=None, derandomize=True)
def test_on_another_base_it_gives_the_promised_or_a_typed_error(
    base, new, other
):
    made = difference.difference(text(base), text(new))
    digest = hashing.digest(text(new))
    try:
        applied = difference.apply_checked(text(other), made, digest)
    except difference.UnfitDifferenceError:
        return
    assert applied == text(new)


def test_one_change_among_many_is_small():
    base = {"accounts": {f"a{n}": {"weight": 1.0} for n in range(690)}}
    new = {"accounts": {**base["accounts"], "a7": {"weight": 2.0}}}
    made = difference.difference(text(base), text(new))
    assert [one.path for one in made.settings] == [("accounts", "a7", "weight")]
    assert made.size == len("accountsa7weight2.0")


@pytest.mark.parametrize("new", [b'{"a": 1}', b'{"b":1,"a":1}', b"{", b""])
def test_what_is_not_canonical_has_no_difference(new):
    assert difference.difference(b"{}", new) is None
    assert difference.difference(b"{", b"{}") is None
