"""Reaching the leader of a group from any VM.

An attempt ends in one of three ways: with the state machine's own answer; in
a failure after which the command was certainly not committed, so that
another attempt is harmless; or in one after which it may have been. Commands
are idempotent, so another attempt is made after that too, but if none brings
an answer the caller is told that the outcome is unknown.
"""

import dataclasses
import itertools
import typing
from collections import abc

import trio

from laburnumsill.consensus import engine_errors
from laburnumsill.consensus import forwarded
from laburnumsill.consensus import lead_watch
from laburnumsill.core import clock as clocks
from laburnumsill.core import codec
from laburnumsill.core import errors
from laburnumsill.core import replication

FIRST_PAUSE_S = 0.02
"""First pause when nobody leads."""

LONGEST_PAUSE_S = 0.05
"""Longest pause when nobody leads: on average a call comes half of it after the
new leader is there. Calls wait for a second at most, see `lead_watch`."""

MAX_HOPS = 3
"""Hints followed without a pause, so that two VMs can not send us round."""

NOT_COMMITTED = (errors.UnavailableError, errors.DeadlinePassedError)
"""Failures after which a command was certainly not committed."""

CONFIRMATION = codec.encode(replication.Confirmation())

Locally = abc.Callable[[float], abc.Awaitable[forwarded.Outcome]]


@dataclasses.dataclass(frozen=True, slots=True)
class Errand:
    """One proposal or query on its way to the leader.

    Attributes:
        group: The group.
        request: What to send to another VM.
        locally: Tries it on this VM's replica.
        deadline: Monotonic point after which it is given up.
        harmless: Whether it changes nothing.
    """

    group: str
    request: object
    locally: Locally
    deadline: float
    harmless: bool = False


class Forwarder:
    """Brings errands to the leader of their group.

    An errand that nobody took is refused once no leader may be expected any
    more. One whose outcome became unknown goes on until its deadline: commands
    are idempotent, and only another attempt can tell what became of it.

    Args:
        me: This VM.
        peers: The other VMs.
        clock: The clock of this process.
        leader: Returns the VM that leads a group as far as this VM's replica
            knows, or None.
        make_up: Returns the VMs that may have replicas of a group.
        attempt_s: Longest wait for the answer of one VM, of which as much is
            used as answers have shown to need; an errand may take several.
            If None, an attempt has all of the errand's time, and the errand
            looks for a leader all the time.
    """

    def __init__(
        self,
        me: str,
        peers: replication.Peers,
        clock: clocks.Clock,
        leader: abc.Callable[[str], str | None],
        make_up: abc.Callable[[str], abc.Sequence[str]],
        attempt_s: float | None = None,
    ) -> None:
        self._me = me
        self._peers = peers
        self._clock = clock
        self._leader = leader
        self._make_up = make_up
        self._attempt_s = attempt_s
        self._hints: dict[str, str] = {}
        self._watches: dict[str, lead_watch.LeadWatch] = {}
        self._turns = itertools.count()

    async def run(self, errand: Errand) -> typing.Any:
        """Returns the state machine's answer.

        Raises:
            errors.ProposalLostError: It may or may not have been carried out.
            errors.NoQuorumError: It was certainly not carried out.
            engine_errors.NoRoomError: The same, and nothing can be until
                disks have room again.
            errors.LaburnumsillError: The state machine refused it.
        """
        maybe: errors.LaburnumsillError | None = None
        last: errors.LaburnumsillError | None = None
        pause = FIRST_PAUSE_S
        hops = 0
        watch = self._watch(errand.group)
        give_up_at = self._give_up_at(errand)
        while self._worth_trying(errand, give_up_at, tried=last is not None):
            began = self._clock.monotonic()
            vm = self._next_vm(errand, began)
            try:
                outcome = await self._attempt(vm, errand)
            except engine_errors.NoRoomError as error:
                if maybe is None:
                    raise
                raise _given_up(errand.group, maybe, error) from error
            except NOT_COMMITTED as error:
                last = error
                if isinstance(error, engine_errors.NotLeaderError):
                    watch.heard(vm)
                elif isinstance(error, engine_errors.LeadUnconfirmedError):
                    watch.unanswered(vm, self._clock.monotonic())
            except errors.LaburnumsillError as error:
                maybe = last = error
                watch.unanswered(vm, self._clock.monotonic())
                if not errand.harmless:
                    give_up_at = errand.deadline
            else:
                self._hints[errand.group] = vm
                watch.answered(vm, began, self._clock.monotonic())
                if outcome.refusal is not None:
                    raise outcome.refusal
                return outcome.result
            watch.missed(self._clock.monotonic())
            hops += 1
            hinted = self._follow_hint(errand.group, vm, last)
            if not hinted or hops > MAX_HOPS:
                left = give_up_at - self._clock.monotonic()
                await trio.sleep(max(0.0, min(pause, left)))
                pause = min(2 * pause, LONGEST_PAUSE_S)
        raise _given_up(errand.group, maybe, last)

    async def ask(self, errand: Errand) -> typing.Any:
        """Returns the answer to a query, which changes nothing.

        Raises:
            errors.NoQuorumError: No answer came.
            errors.LaburnumsillError: The state machine refused it.
        """
        try:
            return await self.run(errand)
        except errors.ProposalLostError as error:
            raise errors.NoQuorumError(error.detail) from error

    async def _attempt(self, vm: str, errand: Errand) -> forwarded.Outcome:
        if vm == self._me:
            return await errand.locally(errand.deadline)
        if self._attempt_s is not None and not errand.harmless:
            await self._confirm_lead(vm, errand)
        deadline = self._attempt_until(errand)
        answer = await self._peers.call(vm, errand.request, deadline)
        return outcome_of(answer)

    async def _confirm_lead(self, vm: str, errand: Errand) -> None:
        """Has a VM confirm that it leads, before it is sent a command.

        The load that this is for: the core loses power, or its leader is cut
        off, and calls come before that shows. A command that was sent there
        may have been carried out, and its caller could not safely try again; a
        question without an answer leaves it known that nothing was.

        Raises:
            engine_errors.LeadUnconfirmedError: No answer came.
            errors.UnavailableError: It does not lead.
        """
        deadline = self._attempt_until(errand)
        wall = self._clock.wall_deadline(deadline)
        question = forwarded.ForwardedQuery(errand.group, CONFIRMATION, wall)
        try:
            await self._peers.call(vm, question, deadline)
        except errors.OutcomeUnknownError as error:
            raise engine_errors.LeadUnconfirmedError(error.detail) from error

    def _attempt_until(self, errand: Errand) -> float:
        """Returns until when one VM's answer is waited for, monotonic."""
        if self._attempt_s is None:
            return errand.deadline
        attempt_s = self._watch(errand.group).attempt_s
        return min(errand.deadline, self._clock.monotonic() + attempt_s)

    def _give_up_at(self, errand: Errand) -> float:
        """Returns until when an errand looks for a leader, monotonic."""
        if self._attempt_s is None:
            return errand.deadline
        watch = self._watch(errand.group)
        worth = watch.worth_waiting_until(self._clock.monotonic())
        return min(errand.deadline, worth)

    def _worth_trying(
        self, errand: Errand, give_up_at: float, *, tried: bool
    ) -> bool:
        """Returns whether another attempt may still be answered.

        One that has no time for its answer would only make an outcome unknown
        that is known so far.
        """
        now = self._clock.monotonic()
        if tried and now > errand.deadline - lead_watch.SHORTEST_ATTEMPT_S:
            return False
        return now < give_up_at

    def _watch(self, group: str) -> lead_watch.LeadWatch:
        if group not in self._watches:
            longest_s = self._attempt_s or lead_watch.ELECTION_WITHIN_S
            self._watches[group] = lead_watch.LeadWatch(longest_s)
        return self._watches[group]

    def _next_vm(self, errand: Errand, now: float) -> str:
        """Returns the supposed leader, else the next of the make-up.

        Followers name a leader that has ended until they miss it themselves.
        One that did not answer just now is not asked again at once, or each
        call would wait for it. And a command is not sent to it in its turn:
        it may be carried out there, so that it could not be refused any more.
        Queries show when it is back.
        """
        group = errand.group
        watch = self._watch(group)
        leader = self._leader(group) or self._hints.get(group)
        if leader is not None and not watch.is_silent(leader, now):
            return leader
        vms = self._make_up(group)
        if not errand.harmless:
            vms = [vm for vm in vms if not watch.was_silent(vm)] or vms
        return vms[next(self._turns) % len(vms)]

    def _follow_hint(
        self, group: str, tried: str, error: errors.LaburnumsillError | None
    ) -> bool:
        """Notes whom to try next; returns whether to do so at once."""
        self._hints.pop(group, None)
        if not isinstance(error, engine_errors.NotLeaderError):
            return False
        if error.leader is None or error.leader == tried:
            return False
        self._hints[group] = error.leader
        now = self._clock.monotonic()
        if self._watch(group).is_silent(error.leader, now):
            return False
        return self._leader(group) is None


def answer_of(outcome: forwarded.Outcome) -> forwarded.Answer:
    """Returns an outcome in the form that goes to another VM."""
    if outcome.refusal is not None:
        return forwarded.Answer(refusal=outcome.refusal.to_record())
    if outcome.result is None:
        return forwarded.Answer()
    return forwarded.Answer(codec.encode(outcome.result))


def outcome_of(answer: forwarded.Answer) -> forwarded.Outcome:
    """Returns the outcome that another VM answered."""
    if answer.refusal is not None:
        refusal = errors.LaburnumsillError.from_record(answer.refusal)
        return forwarded.Outcome(refusal=refusal)
    if answer.result is None:
        return forwarded.Outcome()
    return forwarded.Outcome(codec.decode(answer.result))


def _given_up(
    group: str,
    maybe: errors.LaburnumsillError | None,
    last: errors.LaburnumsillError | None,
) -> errors.LaburnumsillError:
    if maybe is not None:
        return errors.ProposalLostError(f"group {group!r}: {maybe.detail}")
    detail = last.detail if last is not None else "no time left"
    return errors.NoQuorumError(f"group {group!r}: {detail}")
