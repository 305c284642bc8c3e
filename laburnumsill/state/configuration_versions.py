"""Accepted configuration versions, and how to get from one to a newer one.

A VM that has one of the versions before gets the differences that lead to the
newest in place of a whole configuration.
"""

import collections
import dataclasses
from collections import abc

from laburnumsill.config import difference
from laburnumsill.core import codec

KEPT_STEPS = 64
"""The differences of so many of the newest versions are kept."""

KEPT_STEP_BYTES = 512 * 1024
"""Largest sum of the sizes of the kept differences."""


@codec.register("configuration.step")
@dataclasses.dataclass(frozen=True, slots=True)
class VersionStep:
    """An accepted version as its difference to the version before.

    Attributes:
        version: The version that it leads to.
        digest: The digest of that version's body.
        operator: Who pushed it.
        accepted_at: When it was proposed, Unix seconds.
        change: What makes its body of the one before.
    """

    version: int
    digest: str
    operator: str
    accepted_at: float
    change: difference.Difference


@codec.register("configuration.accepted")
@dataclasses.dataclass(frozen=True, slots=True)
class AcceptedConfiguration:
    """An accepted version, whole.

    Attributes:
        version: Its number.
        digest: Digest of `body`.
        operator: Who pushed it.
        accepted_at: When it was proposed, Unix seconds.
        body: The configuration in canonical JSON.
        change: What makes `body` of the version before, None if not known.
    """

    version: int
    digest: str
    operator: str
    accepted_at: float
    body: bytes
    change: difference.Difference | None = None

    @property
    def step(self) -> VersionStep | None:
        """The step from the version before, None if not known."""
        if self.change is None:
            return None
        return VersionStep(
            self.version,
            self.digest,
            self.operator,
            self.accepted_at,
            self.change,
        )


@codec.register("configuration.update")
@dataclasses.dataclass(frozen=True, slots=True)
class ConfigurationUpdate:
    """What leads from an asker's version to the newest known one.

    Attributes:
        whole: The newest version whole, None if `steps` lead to it or the
            asker has it.
        steps: Consecutive, the first one from the asker's version.
    """

    whole: AcceptedConfiguration | None = None
    steps: list[VersionStep] = dataclasses.field(default_factory=list)


class Steps:
    """The steps to the newest version, consecutive and bounded.

    Examples:
        >>> steps = Steps()
        >>> for version in (7, 8):
        ...     change = difference.Difference()
        ...     steps.add(VersionStep(version, "", "ann", 0.0, change))
        >>> [step.version for step in steps.since(7)]
        [8]
        >>> steps.since(5) is None
        True
    """

    def __init__(self, steps: abc.Iterable[VersionStep] = ()) -> None:
        self._steps: collections.deque[VersionStep] = collections.deque()
        self._size = 0
        for step in steps:
            self.add(step)

    def add(self, step: VersionStep) -> None:
        """Adds a step; those before a gap are dropped."""
        if self._steps and step.version != self._steps[-1].version + 1:
            self.clear()
        self._steps.append(step)
        self._size += step.change.size
        while len(self._steps) > KEPT_STEPS or self._size > KEPT_STEP_BYTES:
            self._size -= self._steps.popleft().change.size

    def clear(self) -> None:
        """Drops all, since the newest version has no difference."""
        self._steps.clear()
        self._size = 0

    def all(self) -> list[VersionStep]:
        """Returns all kept steps, the oldest first."""
        return list(self._steps)

    def since(self, version: int) -> list[VersionStep] | None:
        """Returns the steps after `version`, None if not all are kept."""
        if not self._steps or version + 1 < self._steps[0].version:
            return None
        return [step for step in self._steps if step.version > version]


def update_since(
    version: int,
    current: AcceptedConfiguration | None,
    steps: Steps,
) -> ConfigurationUpdate:
    """Returns what leads from a version to the current one.

    Args:
        version: What the asker has, 0 to get the current one whole.
        current: The newest known version, None if there is none.
        steps: The steps to the current version.
    """
    if current is None or current.version <= version:
        return ConfigurationUpdate()
    found = steps.since(version) if version else None
    if found and sum(one.change.size for one in found) < len(current.body):
        return ConfigurationUpdate(steps=found)
    return ConfigurationUpdate(whole=current)


@dataclasses.dataclass(frozen=True, slots=True)
class OpenedVersion:
    """An accepted version with its values at hand, to lead on from."""

    accepted: AcceptedConfiguration
    document: difference.Document

    def after(self, step: VersionStep) -> "OpenedVersion":
        """Returns the version that a step leads to.

        Raises:
            difference.UnfitDifferenceError: It does not lead on from here.
        """
        if step.version != self.accepted.version + 1:
            raise difference.UnfitDifferenceError(
                f"version {step.version} does not follow"
                f" {self.accepted.version}"
            )
        document = self.document.after_checked(step.change, step.digest)
        accepted = AcceptedConfiguration(
            step.version,
            step.digest,
            step.operator,
            step.accepted_at,
            document.text,
            step.change,
        )
        return OpenedVersion(accepted, document)


def opened(accepted: AcceptedConfiguration) -> OpenedVersion:
    """Returns a version with its values.

    Raises:
        difference.UnfitDifferenceError: Its body is no JSON.
    """
    return OpenedVersion(accepted, difference.Document.parse(accepted.body))


def without_given_bodies(
    bodies: abc.Iterable[AcceptedConfiguration],
) -> list[AcceptedConfiguration]:
    """Returns versions, with empty bodies where the one before gives it."""
    packed: list[AcceptedConfiguration] = []
    for accepted in bodies:
        if packed and accepted.change is not None:
            accepted = dataclasses.replace(accepted, body=b"")
        packed.append(accepted)
    return packed


def with_given_bodies(
    packed: abc.Iterable[AcceptedConfiguration],
) -> list[AcceptedConfiguration]:
    """Returns the versions that `without_given_bodies` was given."""
    bodies: list[AcceptedConfiguration] = []
    before: OpenedVersion | None = None
    for accepted in packed:
        if bodies and accepted.step is not None:
            before = (before or opened(bodies[-1])).after(accepted.step)
            accepted = before.accepted
        else:
            before = None
        bodies.append(accepted)
    return bodies
