"""The configuration versions that were accepted, in the root group.

Versions count from 1. A push says which version it was made on top of; of
pushes made on top of the same one exactly one is accepted. The answer to an
accepted push is kept by its id, so that a resend gets it again.

A push comes whole or as the difference to the version it was made on top of,
see `config.difference`. Both are the same push: the id, the expected version
and the digest of the whole decide, and either may be the other's resend.
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
"""Largest canonical configuration."""

KEPT_BODIES = 8
"""So many of the newest versions can be read whole."""

KEPT_ANSWERS = 4096
"""The answers to so many of the newest accepted pushes are kept."""

COMPONENT_NAME = "configuration"
"""The name of this part of the root group's state machine."""


@codec.register("configuration.push")
@dataclasses.dataclass(frozen=True, slots=True)
class PushConfiguration:
    """Puts a configuration on top of an expected version.

    Attributes:
        push_id: The push's own key, the same for each resend of it.
        expected_version: The version it was made on top of, 0 for the first.
        digest: Digest of `body`.
        body: The configuration in canonical JSON.
        now: Wall time of the proposal, Unix seconds.
        operator: Who pushes, for people.
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
    """Puts a configuration on top of an expected version, as a difference.

    Attributes:
        push_id: As in `PushConfiguration`.
        expected_version: The version that `change` applies to.
        digest: Digest of the whole configuration that it gives.
        change: What makes the new configuration of the expected version.
        now: Wall time of the proposal, Unix seconds.
        operator: Who pushes, for people.
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
    """The answer to an accepted push, the same for each resend."""

    version: int
    digest: str
    operator: str
    accepted_at: float


@codec.register("configuration.read-newest")
@dataclasses.dataclass(frozen=True, slots=True)
class ReadNewest:
    """Asks for the number of the newest accepted version."""


@codec.register("configuration.newest")
@dataclasses.dataclass(frozen=True, slots=True)
class NewestAnswer:
    """The number of the newest accepted version, 0 before the first."""

    version: int
    digest: str


@codec.register("configuration.read-since")
@dataclasses.dataclass(frozen=True, slots=True)
class ReadSince:
    """Asks for what is newer than a version, 0 for the newest whole."""

    version: int


@codec.register("configuration.read-current")
@dataclasses.dataclass(frozen=True, slots=True)
class ReadCurrent:
    """Asks for the newest accepted version."""


@codec.register("configuration.current")
@dataclasses.dataclass(frozen=True, slots=True)
class CurrentAnswer:
    """The newest accepted version, None before the first."""

    accepted: configuration_versions.AcceptedConfiguration | None


@codec.register("configuration.read-version")
@dataclasses.dataclass(frozen=True, slots=True)
class ReadVersion:
    """Asks for one accepted version."""

    version: int


@codec.register("configuration.answer")
@dataclasses.dataclass(frozen=True, slots=True)
class KeptAnswer:
    """What is kept of an accepted push to answer its resends."""

    push_id: str
    accepted: PushAccepted


@codec.register("configuration.snapshot")
@dataclasses.dataclass(frozen=True, slots=True)
class ConfigurationSnapshot:
    """The state of a `ConfigurationLog`.

    A body that its difference to the one before gives is left out.
    """

    answers: list[KeptAnswer]
    bodies: list[configuration_versions.AcceptedConfiguration]
    steps: list[configuration_versions.VersionStep] = dataclasses.field(
        default_factory=list
    )


class ConfigurationLog(replication.Component):
    """The accepted versions and the answers to their pushes.

    Explanation:
        `_answers` holds consecutive versions, the newest last, and `_bodies`
        the last few of them whole. An answer is found by its push id for a
        resend and by its version for a conflict.

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
        ] = collections.deque(maxlen=KEPT_BODIES)
        self._steps = configuration_versions.Steps()
        self._opened: configuration_versions.OpenedVersion | None = None

    @property
    def name(self) -> str:
        """The key of this part in a snapshot."""
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
    def opened(self) -> configuration_versions.OpenedVersion | None:
        """The newest accepted version with its values.

        Raises:
            difference.UnfitDifferenceError: Its body is no JSON.
        """
        if self._opened is None and self.current is not None:
            self._opened = configuration_versions.opened(self.current)
        return self._opened

    def commands(self) -> dict[type, replication.Handler]:
        """Returns a handler for each command type."""
        return {PushConfiguration: self.push, PushDifference: self.push}

    def queries(self) -> dict[type, replication.Handler]:
        """Returns a handler for each query type."""
        return {
            ReadCurrent: self._read_current,
            ReadNewest: self._read_newest,
            ReadSince: self.read_since,
            ReadVersion: self.read_version,
        }

    def push(self, command: Push) -> PushAccepted:
        """Accepts a push made on top of the newest version.

        Raises:
            errors.VersionConflictError: The expected version is not the
                newest; the context tells what was accepted on top of it.
            errors.KeyReusedError: Another push had the same id.
            errors.InvalidConfigurationError: The body is too large or does
                not match its digest.
            difference.UnfitDifferenceError: The difference does not give the
                promised digest on the version it was made on top of.
        """
        known = self._by_push.get(command.push_id)
        if known is not None:
            return _same_push(known, command)
        if isinstance(command, PushConfiguration):
            _check_body(command.body, command.digest)
        if command.expected_version != self.version:
            raise self._conflict(command)
        accepted = PushAccepted(
            self.version + 1, command.digest, command.operator, command.now
        )
        self._add(command, accepted)
        self._keep(command.push_id, accepted)
        return accepted

    def read_since(
        self, query: ReadSince
    ) -> configuration_versions.ConfigurationUpdate:
        """Returns what leads from a version to the newest."""
        return configuration_versions.update_since(
            query.version, self.current, self._steps
        )

    def steps_since(
        self, version: int
    ) -> list[configuration_versions.VersionStep] | None:
        """Returns the steps after `version`, None if not all are kept."""
        return self._steps.since(version)

    def read_version(
        self, query: ReadVersion
    ) -> configuration_versions.AcceptedConfiguration:
        """Returns one version.

        Raises:
            errors.NotFoundError: It was never accepted, or is not kept whole
                any more.
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
                configuration_versions.without_given_bodies(self._bodies),
                self._steps.all(),
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
            configuration_versions.with_given_bodies(snapshot.bodies),
            maxlen=KEPT_BODIES,
        )
        self._steps = configuration_versions.Steps(snapshot.steps)
        self._opened = None

    def _read_current(self, query: ReadCurrent) -> CurrentAnswer:
        return CurrentAnswer(self.current)

    def _read_newest(self, query: ReadNewest) -> NewestAnswer:
        digest = self.current.digest if self.current else ""
        return NewestAnswer(self.version, digest)

    def _add(self, command: Push, accepted: PushAccepted) -> None:
        """Adds the pushed version, unless its difference does not fit."""
        if isinstance(command, PushConfiguration):
            self._add_whole(command, accepted)
            return
        base = self.opened
        if base is None:
            raise difference.UnfitDifferenceError("there is no version before")
        step = configuration_versions.VersionStep(
            accepted.version,
            accepted.digest,
            accepted.operator,
            accepted.accepted_at,
            command.change,
        )
        newest = base.after(step)
        _check_body(newest.document.text, command.digest)
        self._opened = newest
        self._bodies.append(newest.accepted)
        self._steps.add(step)

    def _add_whole(
        self, command: PushConfiguration, accepted: PushAccepted
    ) -> None:
        self._opened = None
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

    def _keep(self, push_id: str, accepted: PushAccepted) -> None:
        """Keeps the answer to a push for its resends."""
        self._answers.append(KeptAnswer(push_id, accepted))
        self._by_push[push_id] = accepted
        if len(self._answers) > KEPT_ANSWERS:
            del self._by_push[self._answers.popleft().push_id]

    def _conflict(self, command: Push) -> errors.LaburnumsillError:
        """Returns the error that names what was accepted instead.

        It is the version on top of the expected one while that is kept, so
        that a resend gets the same error, and else the newest.
        """
        winner = self._on_top_of(command.expected_version)
        said = f"expected version {command.expected_version}"
        if winner is None:
            return errors.VersionConflictError(
                f"{said}, but none was accepted yet",
                expected_version=command.expected_version,
                version=0,
            )
        return errors.VersionConflictError(
            f"{said}, but version {winner.version}"
            f" of {winner.operator} was accepted",
            expected_version=command.expected_version,
            version=winner.version,
            digest=winner.digest,
            operator=winner.operator,
            newest_version=self.version,
        )

    def _on_top_of(self, version: int) -> PushAccepted | None:
        if not self._answers:
            return None
        offset = version + 1 - self._answers[0].accepted.version
        if 0 <= offset < len(self._answers):
            return self._answers[offset].accepted
        return self._answers[-1].accepted


def _same_push(known: PushAccepted, command: Push) -> PushAccepted:
    """Returns the kept answer if `command` is a resend of the same push."""
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
