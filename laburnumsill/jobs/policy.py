"""The planner's policy, derived from the configuration in force."""

import dataclasses
from collections import abc

from laburnumsill.config import models
from laburnumsill.state import cells


@dataclasses.dataclass(frozen=True, slots=True)
class Policy:
    """The weights and limits of placement.

    Attributes:
        completion_weight: Weight of job completion time.
        fragmentation_weight: Weight of fragmentation.
        gang_wait_bound_s: Wait after which slots are reserved for a gang.
        checkpoint_timeout_s: Time that a preempted borrower has to save its
            work.
        account_weights: Weight of each account in fair sharing.
    """

    completion_weight: float = 0.5
    fragmentation_weight: float = 0.5
    gang_wait_bound_s: float = 600.0
    checkpoint_timeout_s: float = 30.0
    account_weights: abc.Mapping[str, float] = dataclasses.field(
        default_factory=dict
    )

    @property
    def defragmentation_wait_s(self) -> float:
        """Wait after which small borrowers are preempted to defragment.

        It is a part of the gang wait bound, and the shorter the larger the
        weight of fragmentation is compared with that of completion time.
        """
        total = self.completion_weight + self.fragmentation_weight
        if not total:
            return self.gang_wait_bound_s
        return self.gang_wait_bound_s * self.completion_weight / total

    def weight(self, account: str) -> float:
        """Returns an account's weight, 1 if it is not configured."""
        return self.account_weights.get(account, 1.0)


def policy_of(configuration: models.Configuration) -> Policy:
    """Returns the policy of a configuration."""
    jobs = configuration.jobs
    return Policy(
        completion_weight=jobs.completion_weight,
        fragmentation_weight=jobs.fragmentation_weight,
        gang_wait_bound_s=jobs.gang_wait_bound_s,
        checkpoint_timeout_s=jobs.checkpoint_timeout_s,
        account_weights={
            name: account.weight
            for name, account in configuration.accounts.items()
        },
    )


def guarantees_of(
    configuration: models.Configuration, domain: str
) -> dict[str, cells.Numbers]:
    """Returns the guaranteed cells of each account in a domain."""
    guarantees = {}
    for name, account in configuration.accounts.items():
        shape = account.guarantee.get(domain)
        if shape is not None:
            guarantees[name] = cell_counts(shape)
    return guarantees


def cell_counts(shape: models.Shape) -> cells.Numbers:
    """Returns the cell counts of a shape in the order of `cells.Level`.

    Examples:
        >>> cell_counts(models.Shape(workers=2, pairs=1))
        (0, 1, 2, 0)
    """
    return shape.accelerators, shape.pairs, shape.workers, shape.racks
