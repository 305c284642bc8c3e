"""Which connections are given up when a budget is used up."""

import hypothesis
from hypothesis import strategies

from laburnumsill.core import byte_budget
from laburnumsill.core import metrics
from laburnumsill.daemon import connection_budget

MAX_BYTES = 100
MAX_CONNECTIONS = 3


class Holder(byte_budget.Holder):
    def __init__(self, since) -> None:
        self.since = since
        self.is_given_up = False

    @property
    def waiting_since(self):
        return self.since

    def give_up(self) -> None:
        self.is_given_up = True


def new_budget():
    return connection_budget.ConnectionBudget(
        MAX_BYTES, MAX_CONNECTIONS, metrics.Metrics()
    )


def holders(budget, *times):
    made = [Holder(since) for since in times]
    for one in made:
        budget.add(one)
    return made


def given_up(made):
    return [one.is_given_up for one in made]


def test_the_connection_that_waits_longest_makes_room_for_a_new_one():
    made = holders(new_budget(), 5.0, 1.0, 9.0, 10.0)
    assert given_up(made) == [False, True, False, False]


def test_a_call_that_is_served_is_not_given_up():
    budget = new_budget()
    made = holders(budget, None, None, None, 10.0)
    assert given_up(made) == [False, False, False, True]
    assert not budget.give_up_oldest()


def test_the_oldest_incomplete_body_makes_room_for_the_bytes_of_another():
    budget = new_budget()
    idle, old, new = made = holders(budget, 1.0, 2.0, 3.0)
    budget.take(old, 60)
    budget.take(new, 40)
    assert given_up(made) == [False, False, False]
    budget.take(new, 1)
    assert given_up(made) == [False, True, False]
    assert budget.held_bytes == 41
    assert not idle.is_given_up


def test_bytes_of_an_answered_call_are_free_again():
    budget = new_budget()
    first, second = holders(budget, 1.0, 2.0)
    budget.take(first, 100)
    budget.release(first)
    budget.take(second, 100)
    assert given_up([first, second]) == [False, False]
    budget.remove(second)
    assert budget.held_bytes == 0


def test_a_connection_that_was_given_up_counts_no_more():
    budget = new_budget()
    old, new = holders(budget, 1.0, 2.0)
    budget.take(old, 90)
    budget.take(new, 20)
    budget.take(old, 500)
    budget.remove(old)
    assert (budget.held_bytes, budget.holders) == (20, 1)


@hypothesis.given(
    strategies.lists(
        strategies.tuples(
            strategies.integers(0, 9), strategies.integers(0, 2 * MAX_BYTES)
        ),
        max_size=60,
    )
)
def test_both_limits_hold_while_callers_keep_the_process_waiting(steps):
    budget = new_budget()
    made = [Holder(float(number)) for number in range(10)]
    for number, size in steps:
        if size:
            budget.take(made[number], size)
        elif not made[number].is_given_up:
            budget.add(made[number])
        assert budget.held_bytes <= MAX_BYTES
        assert budget.holders <= MAX_CONNECTIONS
