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
def test_difference_survives_encoding_and_gives_the_newer_text(base, new):
    change = difference.difference(text(base), text(new))
    change = codec.decode(codec.encode(change))
    digest = hashing.digest(text(new))
    assert difference.apply_checked(text(base), change, digest) == text(new)
    assert change == difference.difference(text(base), text(new))
    assert (change == difference.Difference()) == (text(base) == text(new))


@hypothesis.given(VALUES, VALUES, VALUES)
@hypothesis.settings(max_examples=200, deadline=None, derandomize=True)
def test_another_base_gives_the_newer_text_or_unfit_difference(
    base, new, other
):
    change = difference.difference(text(base), text(new))
    digest = hashing.digest(text(new))
    try:
        applied = difference.apply_checked(text(other), change, digest)
    except difference.UnfitDifferenceError:
        return
    assert applied == text(new)


def test_one_change_among_many_is_small():
    base = {"accounts": {f"a{n}": {"weight": 1.0} for n in range(690)}}
    new = {"accounts": {**base["accounts"], "a7": {"weight": 2.0}}}
    change = difference.difference(text(base), text(new))
    assert [setting.path for setting in change.settings] == [
        ("accounts", "a7", "weight")
    ]
    assert change.size == len("accountsa7weight2.0")


@pytest.mark.parametrize("new", [b'{"a": 1}', b'{"b":1,"a":1}', b"{", b""])
def test_text_that_is_not_canonical_has_no_difference(new):
    assert difference.difference(b"{}", new) is None
    assert difference.difference(b"{", b"{}") is None
