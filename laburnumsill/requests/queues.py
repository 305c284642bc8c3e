"""The queue of one class: fair between accounts, earliest deadline first.

Accounts are served by start-time fair queueing: each dequeued request gives
its account a finish tag `start + 1 / weight`, and the account with the
smallest start tag is next. A full queue refuses at the expense of the
account that has most in it for its weight, so that a flood pushes out
nothing but itself.

References:
    P. Goyal, H. Vin, H. Cheng, "Start-time Fair Queueing", IEEE/ACM
    Transactions on Networking 5(5), 1997.
"""

import dataclasses
import itertools
import typing

import sortedcontainers

_order = itertools.count()


@dataclasses.dataclass(eq=False, slots=True)
class Waiter:
    """One request that waits.

    Attributes:
        account: Its account.
        weight: The account's weight.
        deadline: Monotonic point by which it must have ended.
        number: Tells apart equal deadlines, first come first.
    """

    account: str
    weight: float
    deadline: float
    number: int = dataclasses.field(default_factory=_order.__next__)


def _urgency(waiter: Waiter) -> tuple[float, int]:
    return waiter.deadline, waiter.number


class _AccountQueue:
    def __init__(self) -> None:
        self.waiters: typing.Any = sortedcontainers.SortedKeyList(key=_urgency)
        self.finish = 0.0
        self.weight = 1.0


def _crowding(account: _AccountQueue) -> float:
    return len(account.waiters) / account.weight


class FairQueue:
    """The waiters of one class.

    Examples:
        >>> queue = FairQueue()
        >>> for account in ("a", "a", "a", "b"):
        ...     queue.push(Waiter(account, 1.0, 9.0))
        >>> [queue.pop().account for _ in range(4)]
        ['a', 'b', 'a', 'a']
    """

    def __init__(self) -> None:
        self._accounts: dict[str, _AccountQueue] = {}
        self._virtual_time = 0.0
        self._size = 0

    def __len__(self) -> int:
        return self._size

    def push(self, waiter: Waiter) -> None:
        """Adds a waiter."""
        account = self._accounts.get(waiter.account)
        if account is None:
            account = self._accounts[waiter.account] = _AccountQueue()
        if not account.waiters:
            account.finish = max(account.finish, self._virtual_time)
        account.weight = waiter.weight
        account.waiters.add(waiter)
        self._size += 1

    def pop(self) -> Waiter:
        """Takes out the next waiter; the queue must not be empty."""
        waiting = (acc for acc in self._accounts.values() if acc.waiters)
        account = min(waiting, key=lambda acc: acc.finish)
        self._virtual_time = account.finish
        account.finish += 1.0 / account.weight
        self._size -= 1
        waiter: Waiter = account.waiters.pop(0)
        return waiter

    def remove(self, waiter: Waiter) -> None:
        """Takes out a waiter that gave up; it may be out already."""
        account = self._accounts.get(waiter.account)
        if account is not None and waiter in account.waiters:
            account.waiters.remove(waiter)
            self._size -= 1

    def crowding_out(self, account: str) -> Waiter | None:
        """Returns the waiter that must make room for the last of `account`.

        It is the least urgent one of the account with most waiters for its
        weight; None if no account has more than `account` itself.
        """
        crowd = max(self._accounts.values(), key=_crowding)
        if _crowding(crowd) <= _crowding(self._accounts[account]):
            return None
        waiter: Waiter = crowd.waiters[-1]
        return waiter
