"""The filter settle: records how a claimed attempt ended."""

import trio

from laburnumsill.core import clock as clocks
from laburnumsill.core import errors
from laburnumsill.core import logs
from laburnumsill.core import metrics as metrics_module
from laburnumsill.core import replication
from laburnumsill.requests import messages
from laburnumsill.state import answers
from laburnumsill.state import claim_records

PROMPT_S = claim_records.REFUSE_PATIENCE_S
"""Longest wait for a record that there is no answer."""

ANSWER_PATIENCE_S = 5.0
"""Longest wait for the record of an answer, which bridges the election of a
leader. A caller that got an answer can count on every resend getting the
same one, unless the home group is away for longer than this and this VM dies
before it is back."""

LATEST_S = 600.0
"""Time after which a record that cannot be made is given up; the claim then
reads as unknown."""

MAX_PENDING = 1_000
"""Records that wait in the background at most."""

_FIRST_PAUSE_S = 0.1
_LONGEST_PAUSE_S = 5.0


def not_run(
    command: claim_records.ClaimRequest, now: float
) -> claim_records.SettleRequest:
    """Returns the record that an attempt was not and will not be run."""
    return claim_records.SettleRequest(
        command.key,
        command.digest,
        command.attempt,
        claim_records.ClaimState.NOT_RUN,
        None,
        now,
        command.forget_at,
    )


def settlement(
    request: messages.RoutedRequest,
    attempt: str,
    outcome: claim_records.ClaimState,
    answer: answers.StoredAnswer | None,
    now: float,
    retention_s: float,
) -> claim_records.SettleRequest:
    """Returns the record of how an attempt ended."""
    return claim_records.SettleRequest(
        request.claim_key,
        request.digest,
        attempt,
        outcome,
        answer,
        now,
        now + retention_s,
    )


class Settler:
    """Records the ends of attempts, at once or in the background.

    Args:
        groups: The replicated groups.
        clock: The process's clock.
        metrics: Where lost records are counted.
    """

    def __init__(
        self,
        groups: replication.Groups,
        clock: clocks.Clock,
        metrics: metrics_module.Metrics,
    ) -> None:
        self._groups = groups
        self._clock = clock
        self._metrics = metrics
        self._nursery: trio.Nursery | None = None
        self._pending = 0

    @property
    def pending(self) -> int:
        """Records that are not made yet."""
        return self._pending

    def start(self, nursery: trio.Nursery) -> None:
        """Makes background records in `nursery` from now on."""
        self._nursery = nursery

    async def now(
        self, group: str, command: claim_records.SettleRequest, deadline: float
    ) -> None:
        """Records, or goes on in the background after a while.

        Args:
            group: The home group.
            command: The record.
            deadline: Monotonic point by which the request must have ended.
        """
        answered = command.outcome is claim_records.ClaimState.ANSWERED
        patience_s = ANSWER_PATIENCE_S if answered else PROMPT_S
        until = min(deadline, self._clock.monotonic() + patience_s)
        if not await self._try(group, command, until):
            self.later(group, command)

    def later(self, group: str, command: claim_records.SettleRequest) -> None:
        """Records in the background."""
        if self._nursery is None or self._pending >= MAX_PENDING:
            self._lost(command)
            return
        self._pending += 1
        self._nursery.start_soon(self._keep_trying, group, command)

    async def _keep_trying(
        self, group: str, command: claim_records.SettleRequest
    ) -> None:
        give_up = self._clock.monotonic() + LATEST_S
        pause_s = _FIRST_PAUSE_S
        try:
            while self._clock.monotonic() < give_up:
                until = self._clock.monotonic() + PROMPT_S
                if await self._try(group, command, until):
                    return
                await trio.sleep(pause_s)
                pause_s = min(_LONGEST_PAUSE_S, pause_s * 2)
            self._lost(command)
        finally:
            self._pending -= 1

    async def _try(
        self, group: str, command: claim_records.SettleRequest, until: float
    ) -> bool:
        try:
            await self._groups.propose(group, command, until)
        except (errors.UnavailableError, errors.OutcomeUnknownError):
            return False
        except errors.LaburnumsillError as error:
            logs.event(
                "settle-refused",
                level="WARNING",
                attempt=command.attempt,
                error=error.slug,
            )
        return True

    def _lost(self, command: claim_records.SettleRequest) -> None:
        self._metrics.count("settles_lost_total")
        logs.event("settle-lost", level="WARNING", attempt=command.attempt)
