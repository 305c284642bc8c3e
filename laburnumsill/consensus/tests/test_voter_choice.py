"""Tests of the choice of voters and learners."""

from laburnumsill.consensus import voter_choice

NOW = 100.0


def desired_voters(voters, silent=(), learners=(), joining=None, voter_count=3):
    last_contact_at = {
        vm: NOW - 10 if vm in silent else NOW for vm in (*voters, *learners)
    }
    view = voter_choice.VoterView(
        tuple(voters), tuple(learners), last_contact_at, joining or {}, NOW
    )
    return voter_choice.VoterChoice(voter_count).desired_voters(view)


def test_live_voters_are_kept():
    assert desired_voters("abc", joining={"d": NOW}) == ("a", "b", "c")


def test_silent_voter_stays_without_a_spare():
    assert set(desired_voters("abc", silent="c")) == {"a", "b", "c"}


def test_silent_spare_does_not_replace_a_voter():
    assert set(desired_voters("abc", silent="c", joining={"d": NOW - 9})) == {
        "a",
        "b",
        "c",
    }


def test_learner_is_preferred_to_other_spares():
    chosen = desired_voters("abc", silent="c", learners="e", joining={"d": NOW})
    assert chosen == ("a", "b", "e")


def test_voter_that_asks_to_join_again_is_not_replaced():
    assert desired_voters("abc", silent="c", joining={"c": NOW, "d": NOW}) == (
        "a",
        "b",
        "c",
    )


def test_missing_voters_are_added():
    assert desired_voters("ab", joining={"c": NOW}) == ("a", "b", "c")
    assert desired_voters(
        "abc", joining={"d": NOW, "e": NOW}, voter_count=5
    ) == (
        "a",
        "b",
        "c",
        "d",
        "e",
    )


def desired_learners(voters, silent="", learners="", joining=""):
    last_contact_at = {
        vm: NOW - 1 if vm in silent else NOW for vm in (*voters, *learners)
    }
    asked_at = dict.fromkeys(joining, NOW)
    view = voter_choice.VoterView(
        tuple(voters), tuple(learners), last_contact_at, asked_at, NOW
    )
    return voter_choice.VoterChoice(len(voters)).desired_learners(view)


def test_spare_becomes_a_learner_for_a_silent_voter():
    assert desired_learners("abc", joining="d") == ()
    assert desired_learners("abc", silent="c", joining="d") == ("d",)
    assert desired_learners("abc", silent="c", joining="de") == ("d",)
    assert desired_learners("abcde", silent="ce", joining="fg") == ("f", "g")


def test_learners_stay_without_silent_voters():
    assert desired_learners("abc", learners="d", joining="e") == ("d",)
    assert desired_learners("abcde", learners="fgh") == ("f", "g")
