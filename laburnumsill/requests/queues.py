"""The queue of one class: fair between accounts, earliest deadline first.

Accounts are served by start-time fair queueing: each dequeued request gives
its account a finish tag `start + 1 / weight`, and the account with the
smallest start tag is next. A full queue sheds a request of the account with
the highest ratio of queued requests to weight, so that a flood of one account
displaces only its own requests.

References:
    P. Goyal, H. Vin, H. Cheng, "Start-time Fair Queueing", IEEE/ACM
    Transactions on Networking 5(5), 1997.
"""

import dataclasses
import itertools
import typing

import sortedcontainers

_arrival_numbers = itertools.count()


@dataclasses.dataclass(eq=False, slots=True)
class Waiter:
    """A queued request.

    Attributes:
        account: The client account.
        weight: The account's weight.
        deadline: The request's deadline, in monotonic time.
        arrival_number: Orders waiters with equal deadlines.
    """

    account: str
    weight: float
    deadline: float
    arrival_number: int = dataclasses.field(
        default_factory=_arrival_numbers.__next__
    )


def _deadline_order(waiter: Waiter) -> tuple[float, int]:
    return waiter.deadline, waiter.arrival_number


class _AccountQueue:
    def __init__(self) -> None:
        self.waiters: typing.Any = sortedcontainers.SortedKeyList(
            key=_deadline_order
        )
        self.finish_tag = 0.0
        self.weight = 1.0


def _weighted_length(account: _AccountQueue) -> float:
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
            account.finish_tag = max(account.finish_tag, self._virtual_time)
        account.weight = waiter.weight
        account.waiters.add(waiter)
        self._size += 1

    def pop(self) -> Waiter:
        """Removes and returns the next waiter; the queue must not be empty."""
        backlogged = (acc for acc in self._accounts.values() if acc.waiters)
        account = min(backlogged, key=lambda acc: acc.finish_tag)
        self._virtual_time = account.finish_tag
        account.finish_tag += 1.0 / account.weight
        self._size -= 1
        waiter: Waiter = account.waiters.pop(0)
        return waiter

    def remove(self, waiter: Waiter) -> None:
        """Removes a waiter if it is still queued."""
        account = self._accounts.get(waiter.account)
        if account is not None and waiter in account.waiters:
            account.waiters.remove(waiter)
            self._size -= 1

    def shedding_victim(self, account: str) -> Waiter | None:
        """Returns the waiter to shed in place of the newest of `account`.

        It is the waiter with the latest deadline in the account with the
        highest ratio of waiters to weight; None if no account has a higher
        ratio than `account`.
        """
        longest = max(self._accounts.values(), key=_weighted_length)
        if _weighted_length(longest) <= _weighted_length(
            self._accounts[account]
        ):
            return None
        waiter: Waiter = longest.waiters[-1]
        return waiter
