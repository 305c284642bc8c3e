"""Commands, queries and records of the component in `claims`."""

import dataclasses
import enum

from laburnumsill.core import clock
from laburnumsill.core import codec
from laburnumsill.state import answers

REFUSE_TIMEOUT_S = 0.5
"""Timeout of a VM that waits for the commit of a `RefuseRequest` before it
answers its caller."""

FENCE_S = REFUSE_TIMEOUT_S + clock.MAX_CLOCK_DRIFT_S
"""Offset of the fence from the time of the command that raises it."""

MAX_CLAIM_AGE_S = 30.0
"""Maximum age of a request for which a VM proposes a claim."""

NOT_RUN_RETENTION_S = 2 * MAX_CLAIM_AGE_S
"""Retention of the record of a request that was not run."""


class ClaimState(enum.StrEnum):
    """State of a request that is not repeatable.

    IN_PROGRESS: an attempt holds the claim.
    ANSWERED: the backend server has answered.
    UNKNOWN: the request may or may not have run.
    NOT_RUN: the request has not run; another attempt may claim it.
    """

    IN_PROGRESS = "in-progress"
    ANSWERED = "answered"
    UNKNOWN = "unknown"
    NOT_RUN = "not-run"


@codec.register("claims.claim-request")
@dataclasses.dataclass(frozen=True, slots=True)
class ClaimRequest:
    """Command that claims a request for an attempt; idempotent by `attempt`.

    Attributes:
        key: The idempotency key with its service and account.
        digest: Digest of method, path and body.
        attempt: Id of the attempt that would run the request.
        vm: The VM that made the attempt.
        arrived: Wall time at which the request arrived at the VM.
        now: Wall time of the proposal.
        deadline: Wall time at which the attempt times out.
        forget_at: Wall time at which the record expires.
    """

    key: str
    digest: str
    attempt: str
    vm: str
    arrived: float
    now: float
    deadline: float
    forget_at: float


@codec.register("claims.refuse-request")
@dataclasses.dataclass(frozen=True, slots=True)
class RefuseRequest:
    """Command that fences a key before a caller gets the answer "not run".

    It changes nothing if the request has run, runs or may have run.

    Attributes:
        key: The idempotency key with its service and account.
        digest: Digest of method, path and body.
        now: Wall time of the proposal.
    """

    key: str
    digest: str
    now: float


@codec.register("claims.settle-request")
@dataclasses.dataclass(frozen=True, slots=True)
class SettleRequest:
    """Command that records an attempt's outcome; idempotent by `attempt`.

    Attributes:
        key: The claimed key.
        digest: The digest of the claim.
        attempt: The attempt that ended.
        outcome: Any state but `ClaimState.IN_PROGRESS`.
        answer: The complete answer, or None if there is none to store.
        now: Wall time of the proposal.
        forget_at: Wall time at which the record expires, unless the request
            was not run: such a record expires after `NOT_RUN_RETENTION_S`.
    """

    key: str
    digest: str
    attempt: str
    outcome: ClaimState
    answer: answers.StoredAnswer | None
    now: float
    forget_at: float


@codec.register("claims.get-claim")
@dataclasses.dataclass(frozen=True, slots=True)
class GetClaim:
    """Query for the state of a request at wall time `now`."""

    key: str
    now: float


@codec.register("claims.claim-status")
@dataclasses.dataclass(frozen=True, slots=True)
class ClaimStatus:
    """Answer to all commands and the query.

    Attributes:
        granted: Whether the attempt of a `ClaimRequest` holds the claim.
        state: State of the request, None without a record.
        attempt: The newest attempt.
        answer: The stored answer, or None.
    """

    granted: bool
    state: ClaimState | None
    attempt: str
    answer: answers.StoredAnswer | None


@codec.register("claims.record")
@dataclasses.dataclass(slots=True)
class ClaimRecord:
    """Record of the request with one idempotency key.

    Attributes:
        key: See `ClaimRequest`.
        digest: See `ClaimRequest`.
        attempt: The newest attempt, empty before the first.
        state: The recorded state; `state_at` applies the deadline.
        deadline: Wall time at which the newest attempt times out.
        forget_at: Wall time at which the record expires.
        fence: Wall time; an attempt whose request arrived by then is not
            granted the claim.
        ended: Attempts that have ended and are never granted the claim.
        answer: The stored answer, or None.
    """

    key: str
    digest: str
    attempt: str
    state: ClaimState
    deadline: float
    forget_at: float
    fence: float = 0.0
    ended: tuple[str, ...] = ()
    answer: answers.StoredAnswer | None = None

    def state_at(self, now: float) -> ClaimState:
        """Returns the state at wall time `now`, unknown past the deadline."""
        late = self.state is ClaimState.IN_PROGRESS and now >= self.deadline
        return ClaimState.UNKNOWN if late else self.state
