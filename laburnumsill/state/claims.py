"""Claims: which attempt may run a request that is not repeatable.

A claim is committed before the first byte goes to a backend server, and at
most one attempt holds it at any time. Only the VM that made an attempt's id
sends anything for it, and it sends once at most. So these rules give "runs
at most once":

- A key without a record, or whose last attempt ended as not run, is granted.
- An attempt that has ended is never granted, also when its proposal is
  applied late: `SettleRequest` of an attempt that is not known yet leaves a
  record of its end behind, which the late proposal then meets.
- A claim that is in progress, answered or unknown is never granted to
  another attempt. One whose deadline has passed reads as unknown; its own VM
  may still settle it with what truly happened.
- Once a caller was told "not run", a send of the same key that came in
  earlier through another VM must not run either. So `RefuseRequest` and an
  end as not run raise a fence: an attempt whose request arrived before it is
  not granted. The fence lies `FENCE_S` after the command's time, which
  covers the longest wait for its commit and the drift of clocks; a caller
  that resends after its Retry-After is past it.

A record is forgotten at its `forget_at`, a point on the wall clock that the
commands carry; a resend after that is a new request and runs again. One that
was not run needs to outlive the sends that may still be on their way only,
see `NOT_RUN_RETENTION_S`.

Memory: at most `MAX_CLAIMS` records, beyond which new keys are refused, and
answers of at most `MAX_ANSWERS_BYTES` in all, the oldest of which are dropped
first (their outcome stays). `docs/design/routing.md` has the figures.
"""

import collections
import dataclasses

import sortedcontainers

from laburnumsill.core import codec
from laburnumsill.core import errors
from laburnumsill.core import replication
from laburnumsill.state import claim_records

MAX_CLAIMS = 50_000
"""Records in one domain's group; new keys are refused beyond it."""

MAX_ANSWERS_BYTES = 8 * 1024 * 1024
"""Bytes of answer bodies kept in one domain's group."""

MAX_ENDED_ATTEMPTS = 16
"""Ended attempts remembered for each key, against late proposals."""

PRUNED_PER_COMMAND = 16
"""Records forgotten at most by one command, so that none takes long."""


@codec.register("claims.dump")
@dataclasses.dataclass(frozen=True, slots=True)
class _Dump:
    records: tuple[claim_records.ClaimRecord, ...]
    answer_order: tuple[str, ...]


class Claims(replication.Component):
    """The claims whose home is one failure domain."""

    def __init__(
        self,
        max_claims: int = MAX_CLAIMS,
        max_answers_bytes: int = MAX_ANSWERS_BYTES,
    ) -> None:
        self._max_claims = max_claims
        self._max_answers_bytes = max_answers_bytes
        self._clear()

    def _clear(self) -> None:
        self._records: dict[str, claim_records.ClaimRecord] = {}
        self._by_forget_at = sortedcontainers.SortedSet()
        self._answer_order: collections.OrderedDict[str, int] = (
            collections.OrderedDict()
        )
        self._answers_bytes = 0

    @property
    def name(self) -> str:
        """Returns ``claims``."""
        return "claims"

    @property
    def answers_bytes(self) -> int:
        """Bytes of all stored answer bodies."""
        return self._answers_bytes

    def __len__(self) -> int:
        return len(self._records)

    def commands(self) -> dict[type, replication.Handler]:
        """Returns the handlers of the commands."""
        return {
            claim_records.ClaimRequest: self._claim,
            claim_records.RefuseRequest: self._refuse,
            claim_records.SettleRequest: self._settle,
        }

    def queries(self) -> dict[type, replication.Handler]:
        """Returns the handler of the one query."""
        return {claim_records.GetClaim: self._get}

    def dump(self) -> bytes:
        """Returns all records, encoded."""
        records = tuple(self._records[key] for key in sorted(self._records))
        return codec.encode(_Dump(records, tuple(self._answer_order)))

    def load(self, raw: bytes) -> None:
        """Replaces all records."""
        dump: _Dump = codec.decode(raw)
        self._clear()
        self._records = {record.key: record for record in dump.records}
        self._by_forget_at.update(
            (record.forget_at, record.key) for record in dump.records
        )
        for key in dump.answer_order:
            answer = self._records[key].answer
            self._count_answer(key, len(answer.body) if answer else 0)

    def _claim(
        self, command: claim_records.ClaimRequest
    ) -> claim_records.ClaimStatus:
        record = self._record(command.key, command.now)
        if record is None:
            return self._claim_new(command)
        _check_digest(record, command.digest)
        state = record.state_at(command.now)
        if command.attempt in record.ended:
            return _status(record, state)
        if record.attempt == command.attempt:
            granted = record.state is claim_records.ClaimState.IN_PROGRESS
            return _status(record, state, granted=granted)
        fenced = command.arrived <= record.fence
        if record.state is not claim_records.ClaimState.NOT_RUN or fenced:
            return _status(record, state)
        record.attempt = command.attempt
        record.state = claim_records.ClaimState.IN_PROGRESS
        record.deadline = command.deadline
        self._keep_until(record, command.forget_at)
        return _status(record, record.state, granted=True)

    def _claim_new(
        self, command: claim_records.ClaimRequest
    ) -> claim_records.ClaimStatus:
        self._check_room()
        record = claim_records.ClaimRecord(
            command.key,
            command.digest,
            command.attempt,
            claim_records.ClaimState.IN_PROGRESS,
            command.deadline,
            command.forget_at,
        )
        self._put(record)
        return _status(record, record.state, granted=True)

    def _refuse(
        self, command: claim_records.RefuseRequest
    ) -> claim_records.ClaimStatus:
        record = self._record(command.key, command.now)
        if record is None:
            record = self._put_not_run(command.key, command.digest, command.now)
        _check_digest(record, command.digest)
        if record.state is claim_records.ClaimState.NOT_RUN:
            self._fence(record, command.now)
        return _status(record, record.state_at(command.now))

    def _settle(
        self, command: claim_records.SettleRequest
    ) -> claim_records.ClaimStatus:
        record = self._record(command.key, command.now)
        if record is None:
            # The claim was not applied, so nothing ran. It may be applied
            # late, and must find its attempt ended then.
            record = self._put_not_run(command.key, command.digest, command.now)
            _end(record, command.attempt)
            return _status(record, record.state)
        _check_digest(record, command.digest)
        if record.attempt != command.attempt:
            self._end_other(record, command.attempt)
        elif record.state in (
            claim_records.ClaimState.IN_PROGRESS,
            claim_records.ClaimState.UNKNOWN,
        ):
            self._settle_current(record, command)
        return _status(record, record.state_at(command.now))

    def _settle_current(
        self,
        record: claim_records.ClaimRecord,
        command: claim_records.SettleRequest,
    ) -> None:
        record.state = command.outcome
        if command.outcome is claim_records.ClaimState.NOT_RUN:
            _end(record, command.attempt)
            self._fence(record, command.now)
            return
        record.ended = ()  # nothing is granted any more
        self._keep_until(record, command.forget_at)
        if command.answer is not None:
            record.answer = command.answer
            self._count_answer(record.key, len(command.answer.body))

    def _end_other(
        self, record: claim_records.ClaimRecord, attempt: str
    ) -> None:
        if record.state in (
            claim_records.ClaimState.IN_PROGRESS,
            claim_records.ClaimState.NOT_RUN,
        ):
            _end(record, attempt)

    def _put_not_run(
        self, key: str, digest: str, now: float
    ) -> claim_records.ClaimRecord:
        self._check_room()
        forget_at = now + claim_records.NOT_RUN_RETENTION_S
        record = claim_records.ClaimRecord(
            key, digest, "", claim_records.ClaimState.NOT_RUN, now, forget_at
        )
        self._put(record)
        return record

    def _fence(self, record: claim_records.ClaimRecord, now: float) -> None:
        record.fence = max(record.fence, now + claim_records.FENCE_S)
        self._keep_until(record, now + claim_records.NOT_RUN_RETENTION_S)

    def _check_room(self) -> None:
        if len(self._records) >= self._max_claims:
            raise errors.OverloadedError(
                f"{len(self._records)} claims are held, the most there may be"
            )

    def _get(self, query: claim_records.GetClaim) -> claim_records.ClaimStatus:
        record = self._records.get(query.key)
        if record is None or record.forget_at <= query.now:
            return claim_records.ClaimStatus(False, None, "", None)
        return _status(record, record.state_at(query.now))

    def _record(self, key: str, now: float) -> claim_records.ClaimRecord | None:
        """Returns a key's record unless its time is over, and prunes."""
        record = self._records.get(key)
        if record is not None and record.forget_at <= now:
            self._forget(record)
            record = None
        for _ in range(PRUNED_PER_COMMAND):
            if not self._by_forget_at or self._by_forget_at[0][0] > now:
                break
            self._forget(self._records[self._by_forget_at[0][1]])
        return record

    def _forget(self, record: claim_records.ClaimRecord) -> None:
        self._by_forget_at.discard((record.forget_at, record.key))
        self._drop_answer(record.key)
        del self._records[record.key]

    def _put(self, record: claim_records.ClaimRecord) -> None:
        self._records[record.key] = record
        self._by_forget_at.add((record.forget_at, record.key))

    def _keep_until(
        self, record: claim_records.ClaimRecord, forget_at: float
    ) -> None:
        self._by_forget_at.discard((record.forget_at, record.key))
        record.forget_at = forget_at
        self._by_forget_at.add((forget_at, record.key))

    def _count_answer(self, key: str, size: int) -> None:
        self._answer_order[key] = size
        self._answers_bytes += size
        while self._answers_bytes > self._max_answers_bytes:
            oldest = next(iter(self._answer_order))
            self._drop_answer(oldest)

    def _drop_answer(self, key: str) -> None:
        size = self._answer_order.pop(key, None)
        if size is not None:
            self._answers_bytes -= size
            self._records[key].answer = None


def _check_digest(record: claim_records.ClaimRecord, digest: str) -> None:
    if record.digest != digest:
        raise errors.KeyReusedError(
            f"key {record.key!r} was used with another request"
        )


def _end(record: claim_records.ClaimRecord, attempt: str) -> None:
    """Remembers that `attempt` must never be granted (again)."""
    if attempt not in record.ended:
        record.ended = (*record.ended, attempt)[-MAX_ENDED_ATTEMPTS:]


def _status(
    record: claim_records.ClaimRecord,
    state: claim_records.ClaimState,
    *,
    granted: bool = False,
) -> claim_records.ClaimStatus:
    return claim_records.ClaimStatus(
        granted, state, record.attempt, record.answer
    )
