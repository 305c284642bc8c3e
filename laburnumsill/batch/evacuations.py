"""Failure domains that operators have evacuated.

No new run is placed in an evacuated failure domain; the runs that work there
go on until they end. Orders carry no id, so each is applied against the state
that was confirmed while its caller waited: an order that was delayed while
another one was applied is refused instead of reverting that one. Therefore each
order counts as a version, also one that asks for the present state.
"""

import dataclasses
from collections import abc

import msgspec

from laburnumsill.core import codec
from laburnumsill.core import errors


class UnknownFailureDomainError(errors.NotFoundError):
    """An order names a failure domain that the site does not have."""

    slug = "unknown-failure-domain"
    title = "Unknown failure domain"


class EvacuationConflictError(errors.UnavailableError):
    """Another order for the same failure domain was applied first."""

    slug = "evacuation-conflict"
    title = "Another order for the failure domain was applied first"


class OrderLateError(errors.UnavailableError):
    """The caller may have left before the state to replace was read.

    It may have given a later order since.
    """

    slug = "order-late"
    title = "The order was carried out too late"


@codec.register("batch.domain-state")
class DomainState(msgspec.Struct, frozen=True):
    """Whether a failure domain is evacuated.

    Attributes:
        evacuated: Whether no new run is placed there.
        version: Number of orders so far.
        since_ms: Time of the last change, ms since 1970; 0 before the first.
    """

    evacuated: bool = False
    version: int = 0
    since_ms: int = 0


@codec.register("batch.set-evacuation")
class SetEvacuation(msgspec.Struct, frozen=True):
    """Evacuates a failure domain or takes it back.

    Attributes:
        domain: The failure domain.
        evacuated: Whether it is to be evacuated.
        expected_version: The version of its state that the order replaces.
        at_ms: When the order was received, ms since 1970.
        counts_always: Whether it counts as a version also if it changes
            nothing; False in commands of earlier versions of this program.
    """

    domain: str
    evacuated: bool
    expected_version: int
    at_ms: int
    counts_always: bool = False


@codec.register("batch.domain-query")
class DomainQuery(msgspec.Struct, frozen=True):
    """Queries the state of a failure domain and its use."""

    domain: str


@codec.register("batch.domain-status")
class DomainStatus(msgspec.Struct, frozen=True):
    """The state of a failure domain and its use.

    Attributes:
        state: Whether it is evacuated.
        has_workers: Whether a worker in it is present.
        runs: Number of live runs on its workers.
        accelerators_left: Accelerators of the present workers in all failure
            domains that are not evacuated.
    """

    state: DomainState
    has_workers: bool
    runs: int
    accelerators_left: int


@dataclasses.dataclass(slots=True)
class Evacuations:
    """The states of the failure domains for which orders were given.

    Attributes:
        states: State by failure domain.

    Examples:
        >>> evacuations = Evacuations()
        >>> evacuations.apply(SetEvacuation("north", True, 0, 5))
        DomainState(evacuated=True, version=1, since_ms=5)
        >>> evacuations.is_evacuated("north")
        True
        >>> evacuations.apply(SetEvacuation("north", True, 1, 6, True))
        DomainState(evacuated=True, version=2, since_ms=5)
    """

    states: dict[str, DomainState] = dataclasses.field(default_factory=dict)

    @property
    def evacuated(self) -> abc.Set[str]:
        """The evacuated failure domains."""
        return {
            domain for domain, state in self.states.items() if state.evacuated
        }

    def is_evacuated(self, domain: str) -> bool:
        """Returns whether a failure domain is evacuated."""
        state = self.states.get(domain)
        return state is not None and state.evacuated

    def state(self, domain: str) -> DomainState:
        """Returns the state of a failure domain."""
        return self.states.get(domain, DomainState())

    def apply(self, order: SetEvacuation) -> DomainState:
        """Applies an order; one that asks for the present state succeeds.

        Raises:
            EvacuationConflictError: The order would revert one that was
                applied after this one was received.
        """
        present = self.state(order.domain)
        is_expected = present.version == order.expected_version
        changes = present.evacuated != order.evacuated
        if not changes and not (is_expected and order.counts_always):
            return present
        if not is_expected:
            raise EvacuationConflictError(
                f"{order.domain} is at version {present.version}, the order "
                f"replaces {order.expected_version}"
            )
        since_ms = order.at_ms if changes else present.since_ms
        changed = DomainState(order.evacuated, present.version + 1, since_ms)
        self.states[order.domain] = changed
        return changed
