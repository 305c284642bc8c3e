import pytest

from laburnumsill.core import codec
from laburnumsill.state import memberships


def change(expected, voters):
    return memberships.ChangeMakeUp("g", expected, voters, "test")


def test_the_second_of_two_concurrent_changes_is_refused():
    component = memberships.GroupMembership()
    handler = component.commands()[memberships.ChangeMakeUp]
    handler(change(("a", "b"), ("a", "c")))
    with pytest.raises(memberships.MakeUpChangedError):
        handler(change(("a", "b"), ("b", "d")))
    assert component.membership.changed == {"g": ("a", "c")}


def test_a_resent_change_is_idempotent():
    component = memberships.GroupMembership()
    handler = component.commands()[memberships.ChangeMakeUp]
    first = handler(change(("a", "b"), ("c", "a")))
    assert handler(change(("a", "b"), ("c", "a"))) == first


def test_a_snapshot_restores_all_changes():
    component = memberships.GroupMembership()
    component.commands()[memberships.ChangeMakeUp](change((), ("a",)))
    other = memberships.GroupMembership()
    other.load(component.dump())
    assert other.membership == component.membership
    assert (
        codec.decode(codec.encode(component.membership)) == component.membership
    )
