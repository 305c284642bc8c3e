"""The configuration of a site's queues, client accounts and worker pools."""

import dataclasses
import typing
from collections import abc


@dataclasses.dataclass(frozen=True, slots=True)
class Queue:
    """Where jobs of one kind are handed in.

    Attributes:
        name: Unique in the configuration.
        host: The host that callers name.
        path_prefix: What the paths of its calls begin with.
        pool: The service whose workers run its tasks.
        timeout_ms: Longest time for a call, in ms.
        target_ms: Part of the objective of its jobs, in ms.
        priority: 0 goes first.
        max_attempts: A task that failed so often fails its job.
        stretch: Multiple of a job's longest chain of work that is still in
            time.
        is_public: Whether calls need no key.
        is_restricted: Whether a policy outside says which workers may run
            its steps.
    """

    name: str
    host: str
    path_prefix: str
    pool: str
    timeout_ms: int
    target_ms: int
    priority: int
    max_attempts: int
    stretch: float
    is_public: bool = False
    is_restricted: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Account:
    """A client account.

    Attributes:
        name: Unique in the configuration.
        keys: The API keys that are its.
        guaranteed_accelerators: What is its own at all times, for its jobs
            of priority 0.
    """

    name: str
    keys: frozenset[str]
    guaranteed_accelerators: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Pool:
    """The workers of one service.

    Attributes:
        name: Unique in the configuration.
        enforces_capacity: Whether its workers refuse what does not fit.
    """

    name: str
    enforces_capacity: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Limits:
    """Bounds of callers' requests."""

    max_header_bytes: int = 16384
    max_body_bytes: int = 262144


def _made_from_the_others() -> typing.Any:
    """Returns a field for a table that is made from the other fields."""
    return dataclasses.field(
        default_factory=dict, init=False, repr=False, compare=False
    )


@dataclasses.dataclass(frozen=True, slots=True)
class SiteConfiguration:
    """One version of a site's configuration.

    Examples:
        >>> queue = Queue("q", "h", "/a/", "p", 1, 1, 0, 1, 1.0)
        >>> longer = dataclasses.replace(queue, name="l", path_prefix="/a/b/")
        >>> site = SiteConfiguration(1, (queue, longer), (), ())
        >>> site.queue_for("h", "/a/b/c").name
        'l'
        >>> site.queue_for("h", "/b/") is None
        True
    """

    version: int
    queues: tuple[Queue, ...]
    accounts: tuple[Account, ...]
    pools: tuple[Pool, ...]
    limits: Limits = dataclasses.field(default_factory=Limits)
    _queues_at: dict[tuple[str, str], Queue] = _made_from_the_others()
    _prefix_lengths: dict[str, list[int]] = _made_from_the_others()
    _account_of: dict[str, Account] = _made_from_the_others()

    def __post_init__(self) -> None:
        """Makes the tables that requests are looked up in."""
        lengths: dict[str, set[int]] = {}
        for queue in self.queues:
            self._queues_at[queue.host, queue.path_prefix] = queue
            lengths.setdefault(queue.host, set()).add(len(queue.path_prefix))
        for host, found in lengths.items():
            self._prefix_lengths[host] = sorted(found, reverse=True)
        for account in self.accounts:
            for key in account.keys:
                self._account_of[key] = account

    def queue_for(self, host: str, path: str) -> Queue | None:
        """Returns the queue of the longest prefix that `path` has."""
        for length in self._prefix_lengths.get(host, ()):
            queue = self._queues_at.get((host, path[:length]))
            if queue is not None:
                return queue
        return None

    def account_of(self, key: str) -> Account | None:
        """Returns the account that a key belongs to, or None."""
        return self._account_of.get(key)

    @property
    def pool_names(self) -> abc.Set[str]:
        """The names of all pools."""
        return frozenset(pool.name for pool in self.pools)

    @property
    def guarantees(self) -> abc.Mapping[str, int]:
        """The guaranteed accelerators by account."""
        return {
            account.name: account.guaranteed_accelerators
            for account in self.accounts
        }
