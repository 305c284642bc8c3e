from laburnumsill.consensus import voter_choice

NOW = 100.0


def desired(voters, silent=(), learners=(), asking=None, wanted=3):
    heard = {
        vm: NOW - 10 if vm in silent else NOW for vm in (*voters, *learners)
    }
    view = voter_choice.VoterView(
        tuple(voters), tuple(learners), heard, asking or {}, NOW
    )
    return voter_choice.VoterChoice(wanted).desired(view)


def test_nothing_changes_while_all_are_there():
    assert desired("abc", asking={"d": NOW}) == ("a", "b", "c")


def test_a_silent_voter_stays_without_a_spare():
    assert set(desired("abc", silent="c")) == {"a", "b", "c"}


def test_a_spare_that_is_gone_itself_is_no_spare():
    assert set(desired("abc", silent="c", asking={"d": NOW - 9})) == {
        "a",
        "b",
        "c",
    }


def test_a_spare_that_has_the_log_goes_first():
    found = desired("abc", silent="c", learners="e", asking={"d": NOW})
    assert found == ("a", "b", "e")


def test_a_voter_that_lost_its_disk_and_asks_again_is_no_loss():
    assert desired("abc", silent="c", asking={"c": NOW, "d": NOW}) == (
        "a",
        "b",
        "c",
    )


def test_voters_that_are_missing_are_filled_up():
    assert desired("ab", asking={"c": NOW}) == ("a", "b", "c")
    assert desired("abc", asking={"d": NOW, "e": NOW}, wanted=5) == (
        "a",
        "b",
        "c",
        "d",
        "e",
    )


def prepared(voters, quiet="", learners="", asking=""):
    heard = {vm: NOW - 1 if vm in quiet else NOW for vm in (*voters, *learners)}
    asked = dict.fromkeys(asking, NOW)
    view = voter_choice.VoterView(
        tuple(voters), tuple(learners), heard, asked, NOW
    )
    return voter_choice.VoterChoice(len(voters)).prepared(view)


def test_a_spare_learns_the_log_before_it_is_needed():
    assert prepared("abc", asking="d") == ()
    assert prepared("abc", quiet="c", asking="d") == ("d",)
    assert prepared("abc", quiet="c", asking="de") == ("d",)
    assert prepared("abcde", quiet="ce", asking="fg") == ("f", "g")


def test_who_learns_the_log_goes_on_though_a_new_leader_has_missed_nobody():
    assert prepared("abc", learners="d", asking="e") == ("d",)
    assert prepared("abcde", learners="fgh") == ("f", "g")
