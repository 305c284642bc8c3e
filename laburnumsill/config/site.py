"""The configuration of a site's queues, client accounts and worker pools."""

import dataclasses
import typing
from collections import abc


@dataclasses.dataclass(frozen=True, slots=True)
class Queue:
    """A queue that jobs of one kind are submitted to.

    Attributes:
        name: Unique in the configuration.
        host: Host name in the URLs of its calls.
        path_prefix: Prefix of the paths of its calls.
        pool: Name of the worker pool that runs its tasks.
        timeout_ms: Timeout of a call, in ms.
        target_ms: Constant part of the objective for the completion time of
            its jobs, in ms.
        priority: Priority of its jobs; 0 is the highest.
        max_attempts: Number of failed attempts of one task after which its
            job fails.
        stretch: Factor on the length of a job's critical path in the
            objective for its completion time.
        is_public: Whether calls need no API key.
        is_restricted: Whether an external policy decides which workers may
            run its steps.
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
        keys: API keys of the account.
        guaranteed_accelerators: Number of accelerators guaranteed to its
            jobs of priority 0 at all times.
    """

    name: str
    keys: frozenset[str]
    guaranteed_accelerators: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Pool:
    """The workers of one service.

    Attributes:
        name: Unique in the configuration.
        enforces_capacity: Whether its workers refuse tasks that exceed their
            capacity.
    """

    name: str
    enforces_capacity: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Limits:
    """Size limits of callers' requests."""

    max_header_bytes: int = 16384
    max_body_bytes: int = 262144


def _derived_table() -> typing.Any:
    """Returns a dataclass field for an index computed from other fields."""
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
    _queues_by_prefix: dict[tuple[str, str], Queue] = _derived_table()
    _prefix_lengths: dict[str, list[int]] = _derived_table()
    _accounts_by_key: dict[str, Account] = _derived_table()

    def __post_init__(self) -> None:
        """Builds the indexes for lookups by path and by API key."""
        lengths: dict[str, set[int]] = {}
        for queue in self.queues:
            self._queues_by_prefix[queue.host, queue.path_prefix] = queue
            lengths.setdefault(queue.host, set()).add(len(queue.path_prefix))
        for host, host_lengths in lengths.items():
            self._prefix_lengths[host] = sorted(host_lengths, reverse=True)
        for account in self.accounts:
            for key in account.keys:
                self._accounts_by_key[key] = account

    def queue_for(self, host: str, path: str) -> Queue | None:
        """Returns the queue with the longest matching prefix, or None."""
        for length in self._prefix_lengths.get(host, ()):
            queue = self._queues_by_prefix.get((host, path[:length]))
            if queue is not None:
                return queue
        return None

    def account_of(self, key: str) -> Account | None:
        """Returns the account that an API key belongs to, or None."""
        return self._accounts_by_key.get(key)

    @property
    def pool_names(self) -> abc.Set[str]:
        """The names of all pools."""
        return frozenset(pool.name for pool in self.pools)

    @property
    def guarantees(self) -> abc.Mapping[str, int]:
        """The number of guaranteed accelerators by account name."""
        return {
            account.name: account.guaranteed_accelerators
            for account in self.accounts
        }
