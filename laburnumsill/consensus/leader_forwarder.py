"""Forwarding of proposals and queries to the leader of a group.

A call to a VM ends in one of three ways: with the answer of the state machine;
with an error after which the command was certainly not committed, so that a
retry is safe; or with an error after which it may have been committed. Commands
are idempotent, so the call is retried in the last case too. If no retry
returns an answer, the caller gets an error that says that the outcome is
unknown.
"""

import dataclasses
import itertools
import typing
from collections import abc

import trio

from laburnumsill.consensus import engine_errors
from laburnumsill.consensus import forwarded
from laburnumsill.consensus import leader_tracker
from laburnumsill.core import clock as clocks
from laburnumsill.core import codec
from laburnumsill.core import errors
from laburnumsill.core import replication

INITIAL_BACKOFF_S = 0.02
"""First pause between two calls while no leader is known, in seconds."""

MAX_BACKOFF_S = 0.05
"""Longest pause between two calls while no leader is known, in seconds. On
average a new leader is called half of this after its election. Requests wait
at most one second for a leader, see `leader_tracker`."""

MAX_REDIRECTS = 3
"""Number of leader hints followed without a pause. The limit stops a loop
between two VMs that name each other."""

NOT_COMMITTED = (errors.UnavailableError, errors.DeadlinePassedError)
"""Errors after which a command was certainly not committed."""

CONFIRMATION_QUERY = codec.encode(replication.Confirmation())
"""Query that only a leader with a confirmed leadership answers."""

LocalCall = abc.Callable[[float], abc.Awaitable[forwarded.Outcome]]
"""Executes a request on the local replica, up to a monotonic deadline."""


@dataclasses.dataclass(frozen=True, slots=True)
class LeaderRequest:
    """A proposal, query or leadership transfer for the leader of a group.

    Attributes:
        group: The name of the group.
        message: The message that is sent to another VM.
        run_locally: Executes the request on this VM's replica.
        deadline: When the request fails, in monotonic seconds.
        read_only: Whether the request changes no state.
    """

    group: str
    message: object
    run_locally: LocalCall
    deadline: float
    read_only: bool = False


class Forwarder:
    """Forwards requests to the leaders of their groups.

    A request that no VM accepted fails when the wait for a leader ends. A
    command whose outcome is unknown is retried until its deadline: commands
    are idempotent, and only a retry can determine the outcome.

    Args:
        local_vm: The id of this VM.
        peers: The connections to the other VMs.
        clock: The clock of this process.
        leader: Returns the VM that leads a group according to this VM's
            replica, or None.
        replica_vms: Returns the VMs that may host replicas of a group.
        max_call_timeout_s: Upper limit of the timeout of one call, which
            adapts to recent answer times. If None, a call and the wait for a
            leader last until the deadline of the request.
    """

    def __init__(
        self,
        local_vm: str,
        peers: replication.Peers,
        clock: clocks.Clock,
        leader: abc.Callable[[str], str | None],
        replica_vms: abc.Callable[[str], abc.Sequence[str]],
        max_call_timeout_s: float | None = None,
    ) -> None:
        self._local_vm = local_vm
        self._peers = peers
        self._clock = clock
        self._leader = leader
        self._replica_vms = replica_vms
        self._max_call_timeout_s = max_call_timeout_s
        self._hints: dict[str, str] = {}
        self._trackers: dict[str, leader_tracker.LeaderTracker] = {}
        self._round_robin = itertools.count()

    async def forward(self, request: LeaderRequest) -> typing.Any:
        """Returns the answer of the state machine.

        Raises:
            errors.ProposalLostError: The command may have been applied.
            errors.NoQuorumError: The command was certainly not applied.
            engine_errors.NoRoomError: The command was certainly not applied,
                and none can be until disks have free space again.
            errors.LaburnumsillError: The state machine refused the request.
        """
        unknown_error: errors.LaburnumsillError | None = None
        last_error: errors.LaburnumsillError | None = None
        backoff = INITIAL_BACKOFF_S
        redirects = 0
        tracker = self._tracker(request.group)
        wait_deadline = self._wait_deadline(request)
        while self._can_retry(
            request, wait_deadline, called=last_error is not None
        ):
            started_at = self._clock.monotonic()
            vm = self._choose_vm(request, started_at)
            try:
                outcome = await self._call(vm, request)
            except engine_errors.NoRoomError as error:
                if unknown_error is None:
                    raise
                raise _final_error(
                    request.group, unknown_error, error
                ) from error
            except NOT_COMMITTED as error:
                last_error = error
                if isinstance(error, engine_errors.NotLeaderError):
                    tracker.on_answer(vm)
                elif isinstance(error, engine_errors.LeadUnconfirmedError):
                    tracker.on_no_answer(vm, self._clock.monotonic())
            except errors.LaburnumsillError as error:
                unknown_error = last_error = error
                tracker.on_no_answer(vm, self._clock.monotonic())
                if not request.read_only:
                    wait_deadline = request.deadline
            else:
                self._hints[request.group] = vm
                tracker.on_leader_answer(
                    vm, started_at, self._clock.monotonic()
                )
                if outcome.refusal is not None:
                    raise outcome.refusal
                return outcome.result
            tracker.on_no_leader(self._clock.monotonic())
            redirects += 1
            redirected = self._record_hint(request.group, vm, last_error)
            if not redirected or redirects > MAX_REDIRECTS:
                left = wait_deadline - self._clock.monotonic()
                await trio.sleep(max(0.0, min(backoff, left)))
                backoff = min(2 * backoff, MAX_BACKOFF_S)
        raise _final_error(request.group, unknown_error, last_error)

    async def forward_query(self, request: LeaderRequest) -> typing.Any:
        """Returns the answer to a read-only request.

        Raises:
            errors.NoQuorumError: No VM answered.
            errors.LaburnumsillError: The state machine refused the request.
        """
        try:
            return await self.forward(request)
        except errors.ProposalLostError as error:
            raise errors.NoQuorumError(error.detail) from error

    async def _call(self, vm: str, request: LeaderRequest) -> forwarded.Outcome:
        if vm == self._local_vm:
            return await request.run_locally(request.deadline)
        if self._max_call_timeout_s is not None and not request.read_only:
            await self._confirm_leadership(vm, request)
        deadline = self._call_deadline(request)
        answer = await self._peers.call(vm, request.message, deadline)
        return decode_answer(answer)

    async def _confirm_leadership(
        self, vm: str, request: LeaderRequest
    ) -> None:
        """Has a VM confirm that it leads, before a command is sent to it.

        When the leader has lost power or is partitioned, commands arrive
        before the failure is detected. The outcome of a command sent to that
        leader would be unknown, and its caller could not retry it safely. If
        only this query stays unanswered, the command was certainly not
        committed.

        Raises:
            engine_errors.LeadUnconfirmedError: The VM did not answer.
            errors.UnavailableError: The VM does not lead.
        """
        deadline = self._call_deadline(request)
        wall = self._clock.wall_deadline(deadline)
        query = forwarded.ForwardedQuery(
            request.group, CONFIRMATION_QUERY, wall
        )
        try:
            await self._peers.call(vm, query, deadline)
        except errors.OutcomeUnknownError as error:
            raise engine_errors.LeadUnconfirmedError(error.detail) from error

    def _call_deadline(self, request: LeaderRequest) -> float:
        """Returns the deadline of one call, in monotonic seconds."""
        if self._max_call_timeout_s is None:
            return request.deadline
        call_timeout_s = self._tracker(request.group).call_timeout_s
        return min(request.deadline, self._clock.monotonic() + call_timeout_s)

    def _wait_deadline(self, request: LeaderRequest) -> float:
        """Returns when the wait for a leader ends, in monotonic seconds."""
        if self._max_call_timeout_s is None:
            return request.deadline
        tracker = self._tracker(request.group)
        leader_deadline = tracker.wait_deadline(self._clock.monotonic())
        return min(request.deadline, leader_deadline)

    def _can_retry(
        self, request: LeaderRequest, wait_deadline: float, *, called: bool
    ) -> bool:
        """Returns whether enough time is left for another call.

        A call without enough time for its answer could turn a known outcome
        into an unknown one.
        """
        now = self._clock.monotonic()
        if (
            called
            and now > request.deadline - leader_tracker.MIN_CALL_TIMEOUT_S
        ):
            return False
        return now < wait_deadline

    def _tracker(self, group: str) -> leader_tracker.LeaderTracker:
        if group not in self._trackers:
            max_timeout_s = (
                self._max_call_timeout_s or leader_tracker.ELECTION_WAIT_S
            )
            self._trackers[group] = leader_tracker.LeaderTracker(max_timeout_s)
        return self._trackers[group]

    def _choose_vm(self, request: LeaderRequest, now: float) -> str:
        """Returns the presumed leader, else the next VM in turn.

        Followers name a failed leader until their election timeouts expire. A
        leader that has just failed to answer is not called again at once;
        otherwise each request would wait for it. VMs that did not answer are
        also left out of the rotation for commands for a while, because a
        command could be applied there without an answer and its outcome would
        be unknown. Queries still reach them and detect when they answer again.
        """
        group = request.group
        tracker = self._tracker(group)
        leader = self._leader(group) or self._hints.get(group)
        if leader is not None and not tracker.in_retry_delay(leader, now):
            return leader
        vms = self._replica_vms(group)
        if not request.read_only:
            vms = [vm for vm in vms if not tracker.is_left_out(vm, now)] or vms
        return vms[next(self._round_robin) % len(vms)]

    def _record_hint(
        self, group: str, called: str, error: errors.LaburnumsillError | None
    ) -> bool:
        """Records the leader that an error names.

        Returns:
            Whether that leader should be called without a pause.
        """
        self._hints.pop(group, None)
        if not isinstance(error, engine_errors.NotLeaderError):
            return False
        if error.leader is None or error.leader == called:
            return False
        self._hints[group] = error.leader
        now = self._clock.monotonic()
        if self._tracker(group).in_retry_delay(error.leader, now):
            return False
        return self._leader(group) is None


def encode_outcome(outcome: forwarded.Outcome) -> forwarded.Answer:
    """Returns the encoded form of an outcome, for another VM."""
    if outcome.refusal is not None:
        return forwarded.Answer(refusal=outcome.refusal.to_record())
    if outcome.result is None:
        return forwarded.Answer()
    return forwarded.Answer(codec.encode(outcome.result))


def decode_answer(answer: forwarded.Answer) -> forwarded.Outcome:
    """Returns the outcome decoded from the answer of another VM."""
    if answer.refusal is not None:
        refusal = errors.LaburnumsillError.from_record(answer.refusal)
        return forwarded.Outcome(refusal=refusal)
    if answer.result is None:
        return forwarded.Outcome()
    return forwarded.Outcome(codec.decode(answer.result))


def _final_error(
    group: str,
    unknown_error: errors.LaburnumsillError | None,
    last_error: errors.LaburnumsillError | None,
) -> errors.LaburnumsillError:
    if unknown_error is not None:
        return errors.ProposalLostError(
            f"group {group!r}: {unknown_error.detail}"
        )
    detail = last_error.detail if last_error is not None else "no time left"
    return errors.NoQuorumError(f"group {group!r}: {detail}")
