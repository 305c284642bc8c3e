"""The newest configuration, with confirmations that many entries share.

Each VM of the core answers the queries of entries from its own replica. The
replica cannot know that its version is the newest, so the VM queries the leader
for that. Concurrent queries of entries share one query of the leader, whose
load therefore grows with the VMs of the core and not with the entries.
"""

import abc
import typing
from collections import abc as collections_abc

import msgspec
import trio

from laburnumsill.core import clock as clocks
from laburnumsill.core import codec
from laburnumsill.core import errors
from laburnumsill.core import replication
from laburnumsill.daemon import core_choice
from laburnumsill.state import highest_version

CONFIRMATION_MAX_AGE_S = 0.2
"""Maximum age at which a confirmation is shared. Together with an entry's poll
interval, 0.4 s, it is well within the second for which an entry may refuse
calls because its configuration lacks a name or key."""

LEADER_TIMEOUT_S = 0.25
"""Timeout of a query of the leader."""

CALL_TIMEOUT_S = 0.3
"""Timeout of a query of one VM; another VM may know a leader."""


@codec.register("configuration.question")
class Question(msgspec.Struct, frozen=True):
    """Query for the newest document, or for the next part of it."""

    query: highest_version.PartQuery


@codec.register("configuration.confirmed")
class Confirmed(msgspec.Struct, frozen=True):
    """Answer of a VM of the core, with the time of its confirmation.

    Attributes:
        part: A part of the document that the VM's replica has.
        newest_version: The newest version at the time of the confirmation.
        confirmed_after_s: The time of the confirmation, in seconds after the
            VM received the question; negative if the confirmation is older.
            Added to the time at which the question was sent, it gives the
            same time or an earlier one.
        domain: The failure domain of the answering VM.
    """

    part: highest_version.Part
    newest_version: int
    confirmed_after_s: float
    domain: str = ""

    @property
    def is_behind(self) -> bool:
        """Whether the VM's replica lacks the newest version."""
        return self.part.version < self.newest_version


class Source(abc.ABC):
    """Source of an entry's configuration."""

    @abc.abstractmethod
    async def ask(
        self, query: highest_version.PartQuery, deadline: float
    ) -> Confirmed:
        """Queries the newest document, or the next part of it.

        Raises:
            errors.LaburnumsillError: No answer came by the deadline.
        """


class CoreSource(Source):
    """Queries one VM of the core, and the others in turn if it fails.

    A VM may have ended or be unreachable, or it may not know a leader while
    another VM already follows the next leader. A VM that has been removed
    from the group answers from a replica that stays at an old version.

    Args:
        peers: The connections to the core.
        vms: Returns the known VMs of the core.
        choice: Selects the next VM to query.
        clock: The clock of this process.
    """

    def __init__(
        self,
        peers: replication.Peers,
        vms: collections_abc.Callable[[], collections_abc.Iterable[str]],
        choice: core_choice.CoreChoice,
        clock: clocks.Clock,
    ) -> None:
        self._peers = peers
        self._vms = vms
        self._choice = choice
        self._clock = clock

    async def ask(
        self, query: highest_version.PartQuery, deadline: float
    ) -> Confirmed:
        """Queries the VMs until one answers, see the base class.

        If the replicas of all VMs that answer are behind, one of their answers
        is returned, since it contains the newest version.
        """
        failure = errors.NoQuorumError("no VM of the core is known")
        outdated: Confirmed | None = None
        tried: set[str] = set()
        while (now := self._clock.monotonic()) < deadline:
            untried = [vm for vm in self._vms() if vm not in tried]
            vm = self._choice.next(untried, now)
            if vm is None:
                break
            tried.add(vm)
            call_deadline = min(deadline, now + CALL_TIMEOUT_S)
            try:
                answer = await self._call(vm, query, call_deadline)
            except errors.LaburnumsillError as error:
                failure = errors.NoQuorumError(f"{vm}: {error.detail}")
                self._choice.record_failure(vm, self._clock.monotonic())
                continue
            if not answer.is_behind:
                self._choice.record_answer(vm, answer.domain)
                return answer
            self._choice.record_failure(vm, self._clock.monotonic())
            outdated = answer
        if outdated is not None:
            return outdated
        raise failure

    async def _call(
        self, vm: str, query: highest_version.PartQuery, deadline: float
    ) -> Confirmed:
        answer = await self._peers.call(vm, Question(query), deadline)
        return typing.cast(Confirmed, answer)


class ConfigurationResponder:
    """Answers questions of entries on a VM of the core.

    Args:
        group: The group whose state machine holds the document.
        groups: Access to the group.
        peers: Connections on which the questions arrive.
        domain: The failure domain of this VM.
        clock: The clock of this process.
    """

    def __init__(
        self,
        group: str,
        groups: replication.Groups,
        peers: replication.Peers,
        domain: str,
        clock: clocks.Clock,
    ) -> None:
        self._group = group
        self._groups = groups
        self._domain = domain
        self._clock = clock
        self._confirm_lock = trio.Lock()
        self._confirmed_at = float("-inf")
        self._newest_version = highest_version.NO_VERSION
        self._failed_at = float("-inf")
        self._failure = ""
        peers.on_call(Question, self.answer)

    async def answer(self, question: Question) -> Confirmed:
        """Answers a question.

        Raises:
            errors.UnavailableError: This VM has no replica of the group.
            errors.LaburnumsillError: The leader did not confirm in time.
        """
        received_at = self._clock.monotonic()
        await self._confirm(self._component().held.version, received_at)
        return Confirmed(
            self._part(question.query),
            self._newest_version,
            self._confirmed_at - received_at,
            self._domain,
        )

    def _part(self, query: highest_version.PartQuery) -> highest_version.Part:
        """Returns the next part, an empty one if this replica is behind."""
        component = self._component()
        if component.held.version < query.known_version:
            return highest_version.Part(component.held.version)
        return component.part(query)

    async def _confirm(self, replica_version: int, received_at: float) -> None:
        """Queries the leader unless a confirmation can be shared.

        Raises:
            errors.LaburnumsillError: The query of the leader failed, or one
                failed since the question was received.
        """
        async with self._confirm_lock:
            now = self._clock.monotonic()
            if now - self._confirmed_at <= CONFIRMATION_MAX_AGE_S:
                return
            if self._failed_at > received_at:
                raise errors.NoQuorumError(self._failure)
            query = highest_version.PartQuery(replica_version)
            try:
                part = await self._groups.query(
                    self._group, query, now + LEADER_TIMEOUT_S
                )
            except errors.LaburnumsillError as error:
                self._failure = error.detail
                self._failed_at = self._clock.monotonic()
                raise
            self._confirmed_at = now
            self._newest_version = part.version

    def _component(self) -> highest_version.HighestVersion:
        machine = self._groups.local_state_machine(self._group)
        if machine is None:
            raise errors.UnavailableError("no replica of the site is here")
        component: highest_version.HighestVersion = machine.component(
            highest_version.HighestVersion.name
        )
        return component
