"""The newest configuration, confirmed once for many entries.

Each VM of the core answers the entries that turn to it from its own replica.
What the replica cannot know, that its version is the newest, it asks the leader
in rounds that all questions of a moment share: the leader's load grows with the
VMs of the core and not with the entries.
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

SHARED_S = 0.2
"""A confirmation is shared for so long. With the pause between two questions
of an entry, 0.4 s, it is well within the second for which an entry may refuse
what its configuration lacks."""

ROUND_WITHIN_S = 0.25
"""Longest wait for the leader's answer."""

ATTEMPT_S = 0.3
"""Longest wait for one VM's answer; another one may know a leader."""


@codec.register("configuration.question")
class Question(msgspec.Struct, frozen=True):
    """Asks for the newest document, or the next part of it."""

    query: highest_version.PartQuery


@codec.register("configuration.confirmed")
class Confirmed(msgspec.Struct, frozen=True):
    """What a VM of the core holds, and when that was certainly the newest.

    Attributes:
        part: Of the document that it holds.
        newest_version: The newest version at the confirmed point.
        confirmed_after_s: The confirmed point, in seconds after the question
            came; negative where the confirmation is older. Counted from when
            the question was sent it is the same point or an earlier one.
        domain: The failure domain of the VM that answers.
    """

    part: highest_version.Part
    newest_version: int
    confirmed_after_s: float
    domain: str = ""

    @property
    def behind(self) -> bool:
        """Whether the VM lacks the newest version and cannot pass it on."""
        return self.part.version < self.newest_version


class Source(abc.ABC):
    """Where an entry has its configuration from."""

    @abc.abstractmethod
    async def ask(
        self, query: highest_version.PartQuery, deadline: float
    ) -> Confirmed:
        """Asks once.

        Raises:
            errors.LaburnumsillError: No answer came by the deadline.
        """


class NearbyCore(Source):
    """Asks one VM of the core, the others in turn where it cannot answer.

    The load that this is for: a VM has ended or gone silent, or knows no
    leader yet, while another one already follows the next; or it votes no
    more, so that its replica stays as it was while the leader goes on.

    Args:
        peers: The connections to the core.
        vms: Returns the VMs of the core that are known.
        choice: Says which is asked.
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
        """Asks once, see the base class.

        Where all that answer are behind, one of their answers is returned: it
        names the newest version.
        """
        failure = errors.NoQuorumError("no VM of the core is known")
        behind: Confirmed | None = None
        tried: set[str] = set()
        while (now := self._clock.monotonic()) < deadline:
            left = [vm for vm in self._vms() if vm not in tried]
            vm = self._choice.next(left, now)
            if vm is None:
                break
            tried.add(vm)
            until = min(deadline, now + ATTEMPT_S)
            try:
                answer = await self._ask_one(vm, query, until)
            except errors.LaburnumsillError as error:
                failure = errors.NoQuorumError(f"{vm}: {error.detail}")
                self._choice.failed(vm, self._clock.monotonic())
                continue
            if not answer.behind:
                self._choice.answered(vm, answer.domain)
                return answer
            self._choice.failed(vm, self._clock.monotonic())
            behind = answer
        if behind is not None:
            return behind
        raise failure

    async def _ask_one(
        self, vm: str, query: highest_version.PartQuery, deadline: float
    ) -> Confirmed:
        answer = await self._peers.call(vm, Question(query), deadline)
        return typing.cast(Confirmed, answer)


class SharedConfirmation:
    """Answers entries' questions on a VM of the core.

    Args:
        group: The group whose state machine holds the document.
        groups: Access to it.
        peers: Where the questions come from.
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
        self._round = trio.Lock()
        self._confirmed_at = float("-inf")
        self._newest_version = highest_version.NO_VERSION
        self._failed_at = float("-inf")
        self._failure = ""
        peers.on_call(Question, self.answer)

    async def answer(self, question: Question) -> Confirmed:
        """Answers a question.

        Raises:
            errors.UnavailableError: There is no replica here.
            errors.LaburnumsillError: The leader did not confirm in time.
        """
        came_at = self._clock.monotonic()
        await self._confirm(self._held().held.version, came_at)
        return Confirmed(
            self._part(question.query),
            self._newest_version,
            self._confirmed_at - came_at,
            self._domain,
        )

    def _part(self, query: highest_version.PartQuery) -> highest_version.Part:
        """Returns what comes next for the asker, who may be ahead of us."""
        held = self._held()
        if held.held.version < query.known_version:
            return highest_version.Part(held.held.version)
        return held.part(query)

    async def _confirm(self, held_version: int, came_at: float) -> None:
        """Makes sure that there is a confirmation to share.

        Raises:
            errors.LaburnumsillError: A round that ended after the question
                came has failed.
        """
        async with self._round:
            now = self._clock.monotonic()
            if now - self._confirmed_at <= SHARED_S:
                return
            if self._failed_at > came_at:
                raise errors.NoQuorumError(self._failure)
            query = highest_version.PartQuery(held_version)
            try:
                part = await self._groups.query(
                    self._group, query, now + ROUND_WITHIN_S
                )
            except errors.LaburnumsillError as error:
                self._failure = error.detail
                self._failed_at = self._clock.monotonic()
                raise
            self._confirmed_at = now
            self._newest_version = part.version

    def _held(self) -> highest_version.HighestVersion:
        machine = self._groups.local_state_machine(self._group)
        if machine is None:
            raise errors.UnavailableError("no replica of the site is here")
        held: highest_version.HighestVersion = machine.component(
            highest_version.HighestVersion.name
        )
        return held
