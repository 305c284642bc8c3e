"""The settle filter: records the outcomes of claimed attempts."""

import trio

from laburnumsill.core import clock as clocks
from laburnumsill.core import errors
from laburnumsill.core import logs
from laburnumsill.core import metrics as metrics_module
from laburnumsill.core import replication
from laburnumsill.requests import messages
from laburnumsill.state import answers
from laburnumsill.state import claim_records

OUTCOME_TIMEOUT_S = claim_records.REFUSE_TIMEOUT_S
"""Timeout for recording an outcome without an answer."""

ANSWER_TIMEOUT_S = 5.0
"""Timeout for recording an answer, long enough for a leader election. Resends
of an answered request get the same answer, unless the home group is
unavailable for longer than this and this VM fails before the group recovers."""

RETRY_LIMIT_S = 600.0
"""Time after which recording an outcome is abandoned; the outcome of the
claim is then unknown."""

MAX_PENDING = 1_000
"""Limit of outcomes being recorded in the background."""

_INITIAL_BACKOFF_S = 0.1
_MAX_BACKOFF_S = 5.0


def not_run_command(
    command: claim_records.ClaimRequest, now: float
) -> claim_records.SettleRequest:
    """Returns the command that records an attempt as not run."""
    return claim_records.SettleRequest(
        command.key,
        command.digest,
        command.attempt,
        claim_records.ClaimState.NOT_RUN,
        None,
        now,
        command.forget_at,
    )


def settle_command(
    request: messages.RoutedRequest,
    attempt: str,
    outcome: claim_records.ClaimState,
    answer: answers.StoredAnswer | None,
    now: float,
    retention_s: float,
) -> claim_records.SettleRequest:
    """Returns the command that records the outcome of an attempt."""
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
    """Records outcomes of attempts, in the foreground or the background.

    Args:
        groups: The replicated groups.
        clock: The process's clock.
        metrics: The daemon's metrics.
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
        """Number of outcomes being recorded in the background."""
        return self._pending

    def start(self, nursery: trio.Nursery) -> None:
        """Sets the nursery for recording in the background."""
        self._nursery = nursery

    async def record_now(
        self, group: str, command: claim_records.SettleRequest, deadline: float
    ) -> None:
        """Records an outcome; after a timeout, continues in the background.

        Args:
            group: The home group.
            command: The outcome.
            deadline: The request's deadline, in monotonic time.
        """
        answered = command.outcome is claim_records.ClaimState.ANSWERED
        timeout_s = ANSWER_TIMEOUT_S if answered else OUTCOME_TIMEOUT_S
        propose_deadline = min(deadline, self._clock.monotonic() + timeout_s)
        if not await self._try_propose(group, command, propose_deadline):
            self.record_later(group, command)

    def record_later(
        self, group: str, command: claim_records.SettleRequest
    ) -> None:
        """Records an outcome in the background."""
        if self._nursery is None or self._pending >= MAX_PENDING:
            self._record_lost(command)
            return
        self._pending += 1
        self._nursery.start_soon(self._retry_propose, group, command)

    async def _retry_propose(
        self, group: str, command: claim_records.SettleRequest
    ) -> None:
        retry_until = self._clock.monotonic() + RETRY_LIMIT_S
        backoff_s = _INITIAL_BACKOFF_S
        try:
            while self._clock.monotonic() < retry_until:
                propose_deadline = self._clock.monotonic() + OUTCOME_TIMEOUT_S
                if await self._try_propose(group, command, propose_deadline):
                    return
                await trio.sleep(backoff_s)
                backoff_s = min(_MAX_BACKOFF_S, backoff_s * 2)
            self._record_lost(command)
        finally:
            self._pending -= 1

    async def _try_propose(
        self,
        group: str,
        command: claim_records.SettleRequest,
        propose_deadline: float,
    ) -> bool:
        try:
            await self._groups.propose(group, command, propose_deadline)
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

    def _record_lost(self, command: claim_records.SettleRequest) -> None:
        self._metrics.count("settles_lost_total")
        logs.event("settle-lost", level="WARNING", attempt=command.attempt)
