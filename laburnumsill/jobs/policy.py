"""What the configuration in force says of jobs, as the planner needs it."""

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
        gang_wait_bound_s: Wait after which slots are drained for a gang.
        checkpoint_timeout_s: Time that a borrower has to save its work.
        account_weights: Each account's part of what is shared.
    """

    completion_weight: float = 0.5
    fragmentation_weight: float = 0.5
    gang_wait_bound_s: float = 600.0
    checkpoint_timeout_s: float = 30.0
    account_weights: abc.Mapping[str, float] = dataclasses.field(
        default_factory=dict
    )

    @property
    def move_patience_s(self) -> float:
        """Wait after which small borrowers are moved together for a gang.

        The more fragmentation counts against completion time the sooner.
        """
        total = self.completion_weight + self.fragmentation_weight
        if not total:
            return self.gang_wait_bound_s
        return self.gang_wait_bound_s * self.completion_weight / total

    def weight(self, account: str) -> float:
        """Returns an account's weight; 1 for one that is not configured."""
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
    """Returns the cells that each account is owed in a domain."""
    owed = {}
    for name, account in configuration.accounts.items():
        shape = account.guarantee.get(domain)
        if shape is not None:
            owed[name] = numbers_of(shape)
    return owed


def numbers_of(shape: models.Shape) -> cells.Numbers:
    """Returns a shape as numbers in the order of `cells.Level`.

    Examples:
        >>> numbers_of(models.Shape(workers=2, pairs=1))
        (0, 1, 2, 0)
    """
    return shape.accelerators, shape.pairs, shape.workers, shape.racks
