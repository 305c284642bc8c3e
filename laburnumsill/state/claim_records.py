"""What is asked of the claims and what they keep, see `claims`."""

import dataclasses
import enum

from laburnumsill.core import clock
from laburnumsill.core import codec
from laburnumsill.state import answers

REFUSE_PATIENCE_S = 0.5
"""Longest wait of a VM for the commit of "not run" before it answers."""

FENCE_S = REFUSE_PATIENCE_S + clock.MAX_CLOCK_DRIFT_S
"""How far after a command's time its fence lies."""

CLAIM_WINDOW_S = 30.0
"""A VM proposes no claim for a request that arrived longer ago."""

NOT_RUN_RETENTION_S = 2 * CLAIM_WINDOW_S
"""How long a key that was not run is remembered."""


class ClaimState(enum.StrEnum):
    """What is known of a claimed request."""

    IN_PROGRESS = "in-progress"
    ANSWERED = "answered"
    UNKNOWN = "unknown"
    NOT_RUN = "not-run"


@codec.register("claims.claim-request")
@dataclasses.dataclass(frozen=True, slots=True)
class ClaimRequest:
    """Asks for the right to run a request; idempotent by `attempt`.

    Attributes:
        key: The idempotency key with its service and account.
        digest: Digest of method, path and body.
        attempt: Id of the one attempt that would run it.
        vm: The VM that made the attempt.
        arrived: Wall time at which the request arrived at the VM.
        now: Wall time of the proposal.
        deadline: Wall time after which the attempt is over.
        forget_at: Wall time after which the record is dropped.
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
    """Fences off a key before its caller is told that it was not run.

    Nothing changes where the key has run, runs or may have run.

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
    """Records how an attempt ended; idempotent by `attempt`.

    Attributes:
        key: The claimed key.
        digest: The digest that was claimed.
        attempt: The attempt that ended.
        outcome: Anything but `ClaimState.IN_PROGRESS`.
        answer: The whole answer, or None where there is none to keep.
        now: Wall time of the proposal.
        forget_at: Wall time after which the record is dropped; one that was
            not run is dropped earlier.
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
    """Asks what is known of a key at wall time `now`."""

    key: str
    now: float


@codec.register("claims.claim-status")
@dataclasses.dataclass(frozen=True, slots=True)
class ClaimStatus:
    """What is known of a key.

    Attributes:
        granted: Whether the asking attempt holds the claim.
        state: What is known of the request; None where there is no record.
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
    """One key.

    Attributes:
        key: See `ClaimRequest`.
        digest: See `ClaimRequest`.
        attempt: The newest attempt, empty before the first.
        state: How it stands.
        deadline: Wall time after which it is over.
        forget_at: Wall time after which the record is dropped.
        fence: Wall time; a request that arrived earlier is not granted.
        ended: Attempts that must not be granted any more.
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
        """Returns the state as it reads at wall time `now`."""
        late = self.state is ClaimState.IN_PROGRESS and now >= self.deadline
        return ClaimState.UNKNOWN if late else self.state
