"""The log of accepted configuration versions, in the root group.

Versions count from 1. A push names the version that it is based on (its
expected version); of several pushes based on the same version exactly one is
accepted. The answer to an accepted push is stored by the push id, so that a
resend gets the same answer.

A push contains the complete configuration or its difference to the expected
version, see `config.difference`. Both forms are the same push if the id, the
expected version, the operator and the digest of the complete configuration
are equal, so either form may be a resend of the other.
"""

import collections
import dataclasses

from laburnumsill.config import difference
from laburnumsill.core import codec
from laburnumsill.core import errors
from laburnumsill.core import hashing
from laburnumsill.core import replication
from laburnumsill.state import configuration_versions

MAX_BODY_BYTES = 1024 * 1024
"""Limit of the size of a configuration in canonical JSON."""

MAX_STORED_BODIES = 8
"""Number of the newest versions whose complete configuration is stored."""

MAX_STORED_ANSWERS = 4096
"""Number of the newest accepted pushes whose answers are stored."""

COMPONENT_NAME = "configuration"
"""Name of this component of the root group's state machine."""


@codec.register("configuration.push")
@dataclasses.dataclass(frozen=True, slots=True)
class PushConfiguration:
    """Command that pushes a complete configuration; idempotent by `push_id`.

    Attributes:
        push_id: Idempotency key of the push, the same for each resend.
        expected_version: The version that the push is based on, 0 for the
            first push.
        digest: Digest of `body`.
        body: The configuration in canonical JSON.
        now: Wall time of the proposal, Unix seconds.
        operator: Name of the operator who pushes.
    """

    push_id: str
    expected_version: int
    digest: str
    body: bytes
    now: float
    operator: str


@codec.register("configuration.push-difference")
@dataclasses.dataclass(frozen=True, slots=True)
class PushDifference:
    """Command that pushes a configuration as a difference.

    Attributes:
        push_id: Idempotency key of the push, the same for each resend.
        expected_version: The version that `change` applies to.
        digest: Digest of the complete configuration that results.
        change: Difference from the expected version to the new one.
        now: Wall time of the proposal, Unix seconds.
        operator: Name of the operator who pushes.
    """

    push_id: str
    expected_version: int
    digest: str
    change: difference.Difference
    now: float
    operator: str


Push = PushConfiguration | PushDifference


@codec.register("configuration.push-accepted")
@dataclasses.dataclass(frozen=True, slots=True)
class PushAccepted:
    """Answer to an accepted push, the same for each resend."""

    version: int
    digest: str
    operator: str
    accepted_at: float


@codec.register("configuration.read-newest")
@dataclasses.dataclass(frozen=True, slots=True)
class ReadNewest:
    """Query for the number of the newest accepted version."""


@codec.register("configuration.newest")
@dataclasses.dataclass(frozen=True, slots=True)
class NewestAnswer:
    """Number and digest of the newest accepted version, 0 before the first."""

    version: int
    digest: str


@codec.register("configuration.read-since")
@dataclasses.dataclass(frozen=True, slots=True)
class ReadSince:
    """Query for the update from `version`; 0 gets a complete configuration."""

    version: int


@codec.register("configuration.read-current")
@dataclasses.dataclass(frozen=True, slots=True)
class ReadCurrent:
    """Query for the newest accepted version."""


@codec.register("configuration.current")
@dataclasses.dataclass(frozen=True, slots=True)
class CurrentAnswer:
    """Answer with the newest accepted version, None before the first."""

    accepted: configuration_versions.AcceptedConfiguration | None


@codec.register("configuration.read-version")
@dataclasses.dataclass(frozen=True, slots=True)
class ReadVersion:
    """Query for one accepted version."""

    version: int


@codec.register("configuration.answer")
@dataclasses.dataclass(frozen=True, slots=True)
class KeptAnswer:
    """Stored answer to an accepted push, for deduplication of resends."""

    push_id: str
    accepted: PushAccepted


@codec.register("configuration.snapshot")
@dataclasses.dataclass(frozen=True, slots=True)
class ConfigurationSnapshot:
    """Snapshot of a `ConfigurationLog`.

    Attributes:
        answers: The stored answers, the oldest first.
        bodies: The stored versions, the oldest first; a body is empty if it
            follows from the version before and the difference.
        steps: The stored steps, the oldest first.
    """

    answers: list[KeptAnswer]
    bodies: list[configuration_versions.AcceptedConfiguration]
    steps: list[configuration_versions.VersionStep] = dataclasses.field(
        default_factory=list
    )


class ConfigurationLog(replication.Component):
    """State machine component that accepts configuration versions.

    Explanation:
        `_answers` holds the answers to pushes of consecutive versions, the
        newest last, and `_bodies` the complete configurations of the last
        few of them. An answer is looked up by push id for a resend, and by
        version for a conflict.

    Examples:
        >>> log = ConfigurationLog()
        >>> digest = hashing.digest(b"{}")
        >>> log.push(PushConfiguration("p1", 0, digest, b"{}", 0.0, "ann"))
        ... # doctest: +ELLIPSIS
        PushAccepted(version=1, ...)
    """

    def __init__(self) -> None:
        self._answers: collections.deque[KeptAnswer] = collections.deque()
        self._by_push: dict[str, PushAccepted] = {}
        self._bodies: collections.deque[
            configuration_versions.AcceptedConfiguration
        ] = collections.deque(maxlen=MAX_STORED_BODIES)
        self._steps = configuration_versions.StepQueue()
        self._parsed: configuration_versions.ParsedVersion | None = None

    @property
    def name(self) -> str:
        """The key of this component in a snapshot."""
        return COMPONENT_NAME

    @property
    def current(self) -> configuration_versions.AcceptedConfiguration | None:
        """The newest accepted version, None before the first."""
        return self._bodies[-1] if self._bodies else None

    @property
    def version(self) -> int:
        """The number of the newest accepted version, 0 before the first."""
        return self._bodies[-1].version if self._bodies else 0

    @property
    def parsed(self) -> configuration_versions.ParsedVersion | None:
        """The newest accepted version with its parsed body.

        Raises:
            difference.UnfitDifferenceError: The body is not valid JSON.
        """
        if self._parsed is None and self.current is not None:
            self._parsed = configuration_versions.parse_version(self.current)
        return self._parsed

    def commands(self) -> dict[type, replication.Handler]:
        """Returns the handlers by command type."""
        return {PushConfiguration: self.push, PushDifference: self.push}

    def queries(self) -> dict[type, replication.Handler]:
        """Returns the handlers by query type."""
        return {
            ReadCurrent: self._read_current,
            ReadNewest: self._read_newest,
            ReadSince: self.read_since,
            ReadVersion: self.read_version,
        }

    def push(self, command: Push) -> PushAccepted:
        """Accepts a push that is based on the newest version.

        Raises:
            errors.VersionConflictError: The expected version is not the
                newest; the error's context has its accepted successor.
            errors.KeyReusedError: Another push had the same id.
            errors.InvalidConfigurationError: The body is too large or does
                not match its digest.
            difference.UnfitDifferenceError: The difference does not apply to
                the expected version or does not result in the digest.
        """
        known = self._by_push.get(command.push_id)
        if known is not None:
            return _answer_resend(known, command)
        if isinstance(command, PushConfiguration):
            _check_body(command.body, command.digest)
        if command.expected_version != self.version:
            raise self._conflict(command)
        accepted = PushAccepted(
            self.version + 1, command.digest, command.operator, command.now
        )
        self._add_version(command, accepted)
        self._store_answer(command.push_id, accepted)
        return accepted

    def read_since(
        self, query: ReadSince
    ) -> configuration_versions.ConfigurationUpdate:
        """Returns the update from a version to the newest one."""
        return configuration_versions.update_since(
            query.version, self.current, self._steps
        )

    def steps_since(
        self, version: int
    ) -> list[configuration_versions.VersionStep] | None:
        """Returns the steps after `version`, None if not all are stored."""
        return self._steps.steps_after(version)

    def read_version(
        self, query: ReadVersion
    ) -> configuration_versions.AcceptedConfiguration:
        """Returns one version.

        Raises:
            errors.NotFoundError: The version was not accepted, or is older
                than the `MAX_STORED_BODIES` newest ones.
        """
        for accepted in self._bodies:
            if accepted.version == query.version:
                return accepted
        oldest = self._bodies[0].version if self._bodies else 0
        raise errors.NotFoundError(
            f"version {query.version} is not kept",
            version=query.version,
            oldest_version=oldest,
            newest_version=self.version,
        )

    def dump(self) -> bytes:
        """Returns the whole state, encoded."""
        return codec.encode(
            ConfigurationSnapshot(
                list(self._answers),
                configuration_versions.omit_derivable_bodies(self._bodies),
                self._steps.to_list(),
            )
        )

    def load(self, raw: bytes) -> None:
        """Replaces the state by one that `dump` returned."""
        snapshot: ConfigurationSnapshot = codec.decode(raw)
        self._answers = collections.deque(snapshot.answers)
        self._by_push = {
            answer.push_id: answer.accepted for answer in snapshot.answers
        }
        self._bodies = collections.deque(
            configuration_versions.restore_bodies(snapshot.bodies),
            maxlen=MAX_STORED_BODIES,
        )
        self._steps = configuration_versions.StepQueue(snapshot.steps)
        self._parsed = None

    def _read_current(self, query: ReadCurrent) -> CurrentAnswer:
        return CurrentAnswer(self.current)

    def _read_newest(self, query: ReadNewest) -> NewestAnswer:
        digest = self.current.digest if self.current else ""
        return NewestAnswer(self.version, digest)

    def _add_version(self, command: Push, accepted: PushAccepted) -> None:
        """Adds the pushed version.

        Raises:
            difference.UnfitDifferenceError: The difference does not apply.
            errors.InvalidConfigurationError: The resulting body is too large.
        """
        if isinstance(command, PushConfiguration):
            self._add_whole(command, accepted)
            return
        base = self.parsed
        if base is None:
            raise difference.UnfitDifferenceError("there is no version before")
        step = configuration_versions.VersionStep(
            accepted.version,
            accepted.digest,
            accepted.operator,
            accepted.accepted_at,
            command.change,
        )
        newest = base.apply(step)
        _check_body(newest.document.text, command.digest)
        self._parsed = newest
        self._bodies.append(newest.accepted)
        self._steps.add(step)

    def _add_whole(
        self, command: PushConfiguration, accepted: PushAccepted
    ) -> None:
        self._parsed = None
        self._steps.clear()
        self._bodies.append(
            configuration_versions.AcceptedConfiguration(
                accepted.version,
                accepted.digest,
                accepted.operator,
                accepted.accepted_at,
                command.body,
            )
        )

    def _store_answer(self, push_id: str, accepted: PushAccepted) -> None:
        """Stores the answer to a push for its resends."""
        self._answers.append(KeptAnswer(push_id, accepted))
        self._by_push[push_id] = accepted
        if len(self._answers) > MAX_STORED_ANSWERS:
            del self._by_push[self._answers.popleft().push_id]

    def _conflict(self, command: Push) -> errors.LaburnumsillError:
        """Returns the conflict error for a refused push.

        The error names the successor of the expected version while its answer
        is stored, so that a resend gets the same error, and otherwise the
        newest version.
        """
        successor = self._successor_or_newest(command.expected_version)
        expected = f"expected version {command.expected_version}"
        if successor is None:
            return errors.VersionConflictError(
                f"{expected}, but none was accepted yet",
                expected_version=command.expected_version,
                version=0,
            )
        return errors.VersionConflictError(
            f"{expected}, but version {successor.version}"
            f" of {successor.operator} was accepted",
            expected_version=command.expected_version,
            version=successor.version,
            digest=successor.digest,
            operator=successor.operator,
            newest_version=self.version,
        )

    def _successor_or_newest(self, version: int) -> PushAccepted | None:
        if not self._answers:
            return None
        offset = version + 1 - self._answers[0].accepted.version
        if 0 <= offset < len(self._answers):
            return self._answers[offset].accepted
        return self._answers[-1].accepted


def _answer_resend(known: PushAccepted, command: Push) -> PushAccepted:
    """Returns the stored answer to a resend of the same push.

    Raises:
        errors.KeyReusedError: `command` is another push with the same id.
    """
    same = (
        known.digest == command.digest
        and known.operator == command.operator
        and known.version == command.expected_version + 1
    )
    if same:
        return known
    raise errors.KeyReusedError(
        f"push {command.push_id!r} was version {known.version} with digest"
        f" {known.digest} of {known.operator}",
        version=known.version,
        digest=known.digest,
        operator=known.operator,
    )


def _check_body(body: bytes, digest: str) -> None:
    if len(body) > MAX_BODY_BYTES:
        raise errors.InvalidConfigurationError(
            f"the configuration has {len(body)} bytes, over {MAX_BODY_BYTES}"
        )
    actual = hashing.digest(body)
    if actual != digest:
        raise errors.InvalidConfigurationError(
            f"the digest is {actual}, not {digest}",
            digest=actual,
        )
