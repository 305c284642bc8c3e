import pytest

from laburnumsill.core import codec
from laburnumsill.state import make_up


def change(expected, voters):
    return make_up.ChangeMakeUp("g", expected, voters, "test")


def test_the_second_of_two_concurrent_changes_is_refused():
    part = make_up.GroupMembership()
    handler = part.commands()[make_up.ChangeMakeUp]
    handler(change(("a", "b"), ("a", "c")))
    with pytest.raises(make_up.MakeUpChangedError):
        handler(change(("a", "b"), ("b", "d")))
    assert part.make_up.changed == {"g": ("a", "c")}


def test_a_resent_change_is_idempotent():
    part = make_up.GroupMembership()
    handler = part.commands()[make_up.ChangeMakeUp]
    first = handler(change(("a", "b"), ("c", "a")))
    assert handler(change(("a", "b"), ("c", "a"))) == first


def test_a_snapshot_restores_all_changes():
    part = make_up.GroupMembership()
    part.commands()[make_up.ChangeMakeUp](change((), ("a",)))
    other = make_up.GroupMembership()
    other.load(part.dump())
    assert other.make_up == part.make_up
    assert codec.decode(codec.encode(part.make_up)) == part.make_up
