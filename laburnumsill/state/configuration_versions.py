"""Accepted configuration versions, and the updates from one to the newest.

A VM that has a recent version gets the differences to the newest one instead
of a complete configuration.
"""

import collections
import dataclasses
from collections import abc

from laburnumsill.config import difference
from laburnumsill.core import codec

MAX_STORED_STEPS = 64
"""Number of the newest versions whose differences are stored."""

MAX_STORED_STEP_BYTES = 512 * 1024
"""Limit of the total size of the stored differences."""


@codec.register("configuration.step")
@dataclasses.dataclass(frozen=True, slots=True)
class VersionStep:
    """An accepted version as its difference to the version before.

    Attributes:
        version: The version that results from the step.
        digest: Digest of the resulting body.
        operator: Name of the operator who pushed the version.
        accepted_at: Wall time of the proposal, Unix seconds.
        change: Difference from the body of the version before.
    """

    version: int
    digest: str
    operator: str
    accepted_at: float
    change: difference.Difference


@codec.register("configuration.accepted")
@dataclasses.dataclass(frozen=True, slots=True)
class AcceptedConfiguration:
    """An accepted version with its complete configuration.

    Attributes:
        version: The version number.
        digest: Digest of `body`.
        operator: Name of the operator who pushed the version.
        accepted_at: Wall time of the proposal, Unix seconds.
        body: The configuration in canonical JSON.
        change: Difference from the body of the version before, None if not
            known.
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
    """Update from a requester's version to the newest known version.

    Attributes:
        whole: The complete newest version, None if `steps` lead to it or the
            requester has it.
        steps: Consecutive steps, the first one from the requester's version.
    """

    whole: AcceptedConfiguration | None = None
    steps: list[VersionStep] = dataclasses.field(default_factory=list)


class StepQueue:
    """Bounded queue of consecutive steps to the newest version.

    Examples:
        >>> steps = StepQueue()
        >>> for version in (7, 8):
        ...     change = difference.Difference()
        ...     steps.add(VersionStep(version, "", "ann", 0.0, change))
        >>> [step.version for step in steps.steps_after(7)]
        [8]
        >>> steps.steps_after(5) is None
        True
    """

    def __init__(self, steps: abc.Iterable[VersionStep] = ()) -> None:
        self._steps: collections.deque[VersionStep] = collections.deque()
        self._size = 0
        for step in steps:
            self.add(step)

    def add(self, step: VersionStep) -> None:
        """Adds a step; drops all steps before a gap in the versions."""
        if self._steps and step.version != self._steps[-1].version + 1:
            self.clear()
        self._steps.append(step)
        self._size += step.change.size
        while (
            len(self._steps) > MAX_STORED_STEPS
            or self._size > MAX_STORED_STEP_BYTES
        ):
            self._size -= self._steps.popleft().change.size

    def clear(self) -> None:
        """Drops all steps, for a newest version without a difference."""
        self._steps.clear()
        self._size = 0

    def to_list(self) -> list[VersionStep]:
        """Returns all stored steps, the oldest first."""
        return list(self._steps)

    def steps_after(self, version: int) -> list[VersionStep] | None:
        """Returns the steps after `version`, None if not all are stored."""
        if not self._steps or version + 1 < self._steps[0].version:
            return None
        return [step for step in self._steps if step.version > version]


def update_since(
    version: int,
    current: AcceptedConfiguration | None,
    steps: StepQueue,
) -> ConfigurationUpdate:
    """Returns the update from a version to the current version.

    The steps are returned if they are smaller than the complete
    configuration.

    Args:
        version: The requester's version, 0 to get the complete current version.
        current: The newest known version, None if there is none.
        steps: The steps to the current version.
    """
    if current is None or current.version <= version:
        return ConfigurationUpdate()
    recent = steps.steps_after(version) if version else None
    if recent and sum(step.change.size for step in recent) < len(current.body):
        return ConfigurationUpdate(steps=recent)
    return ConfigurationUpdate(whole=current)


@dataclasses.dataclass(frozen=True, slots=True)
class ParsedVersion:
    """An accepted version with its parsed body, to apply steps to.

    Attributes:
        accepted: The version.
        document: The parsed body.
    """

    accepted: AcceptedConfiguration
    document: difference.Document

    def apply(self, step: VersionStep) -> "ParsedVersion":
        """Returns the version that results from a step.

        Raises:
            difference.UnfitDifferenceError: The step does not apply to this
                version.
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
        return ParsedVersion(accepted, document)


def parse_version(accepted: AcceptedConfiguration) -> ParsedVersion:
    """Returns a version with its parsed body.

    Raises:
        difference.UnfitDifferenceError: The body is not valid JSON.
    """
    return ParsedVersion(accepted, difference.Document.parse(accepted.body))


def omit_derivable_bodies(
    bodies: abc.Iterable[AcceptedConfiguration],
) -> list[AcceptedConfiguration]:
    """Returns the versions without the bodies that `restore_bodies` derives.

    The body of each version but the first is replaced by an empty one if it
    follows from the version before and the difference.
    """
    packed: list[AcceptedConfiguration] = []
    for accepted in bodies:
        if packed and accepted.change is not None:
            accepted = dataclasses.replace(accepted, body=b"")
        packed.append(accepted)
    return packed


def restore_bodies(
    packed: abc.Iterable[AcceptedConfiguration],
) -> list[AcceptedConfiguration]:
    """Returns the versions that were passed to `omit_derivable_bodies`."""
    bodies: list[AcceptedConfiguration] = []
    before: ParsedVersion | None = None
    for accepted in packed:
        if bodies and accepted.step is not None:
            before = (before or parse_version(bodies[-1])).apply(accepted.step)
            accepted = before.accepted
        else:
            before = None
        bodies.append(accepted)
    return bodies
