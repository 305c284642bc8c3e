"""Tests of the choice of voters and learners."""

from laburnumsill.consensus import voter_choice

NOW = 100.0


def desired(voters, silent=(), learners=(), asking=None, wanted=3):
    heard_at = {
        vm: NOW - 10 if vm in silent else NOW for vm in (*voters, *learners)
    }
    view = voter_choice.VoterView(
        tuple(voters), tuple(learners), heard_at, asking or {}, NOW
    )
    return voter_choice.VoterChoice(wanted).desired(view)


def test_live_voters_are_kept():
    assert desired("abc", asking={"d": NOW}) == ("a", "b", "c")


def test_silent_voter_stays_without_a_spare():
    assert set(desired("abc", silent="c")) == {"a", "b", "c"}


def test_silent_spare_does_not_replace_a_voter():
    assert set(desired("abc", silent="c", asking={"d": NOW - 9})) == {
        "a",
        "b",
        "c",
    }


def test_learner_is_preferred_to_other_spares():
    chosen = desired("abc", silent="c", learners="e", asking={"d": NOW})
    assert chosen == ("a", "b", "e")


def test_voter_that_asks_to_join_again_is_not_replaced():
    assert desired("abc", silent="c", asking={"c": NOW, "d": NOW}) == (
        "a",
        "b",
        "c",
    )


def test_missing_voters_are_added():
    assert desired("ab", asking={"c": NOW}) == ("a", "b", "c")
    assert desired("abc", asking={"d": NOW, "e": NOW}, wanted=5) == (
        "a",
        "b",
        "c",
        "d",
        "e",
    )


def prepared(voters, silent="", learners="", asking=""):
    heard_at = {
        vm: NOW - 1 if vm in silent else NOW for vm in (*voters, *learners)
    }
    asked_at = dict.fromkeys(asking, NOW)
    view = voter_choice.VoterView(
        tuple(voters), tuple(learners), heard_at, asked_at, NOW
    )
    return voter_choice.VoterChoice(len(voters)).prepared(view)


def test_spare_becomes_a_learner_for_a_silent_voter():
    assert prepared("abc", asking="d") == ()
    assert prepared("abc", silent="c", asking="d") == ("d",)
    assert prepared("abc", silent="c", asking="de") == ("d",)
    assert prepared("abcde", silent="ce", asking="fg") == ("f", "g")


def test_learners_stay_without_silent_voters():
    assert prepared("abc", learners="d", asking="e") == ("d",)
    assert prepared("abcde", learners="fgh") == ("f", "g")
