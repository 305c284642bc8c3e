"""Claims: at-most-once execution of requests that are not repeatable.

A claim is the right of one attempt to run the request of an idempotency key.
It is committed before the first byte goes to a backend server, and at most
one attempt holds it at any time. Only the VM that created an attempt sends
its request, and it does so at most once. These rules make a request run at
most once:

- A claim is granted if its key has no record or its last attempt ended as
  not run.
- An attempt that has ended is never granted a claim, even if its
  `ClaimRequest` is applied late: a `SettleRequest` that is applied first
  records the end of the attempt, and the late `ClaimRequest` is refused.
- A claim that is in progress, answered or unknown is never granted to
  another attempt. A claim past its deadline reads as unknown; the VM of its
  attempt may still settle it with the actual outcome.
- After a caller got the answer "not run", a request with the same key that
  arrived earlier at another VM must not run either. For that, `RefuseRequest`
  and the outcome "not run" raise a fence: an attempt whose request arrived
  before the fence is not granted the claim. The fence is `FENCE_S` after the
  time of the command, which covers the commit timeout and the clock drift; a
  caller that resends after its Retry-After arrives after the fence.

A record expires at its `forget_at`, a wall time that the commands carry; a
resend after that is a new request and runs again. The record of a request
that was not run only needs to outlive requests that are still in flight, see
`NOT_RUN_RETENTION_S`.

Memory: there are at most `MAX_CLAIMS` records, beyond which new keys are
refused, and at most `MAX_ANSWERS_BYTES` of answer bodies, beyond which the
oldest answers are dropped; their outcomes stay. `docs/design/routing.md` has
the figures.
"""

import collections
import dataclasses

import sortedcontainers

from laburnumsill.core import codec
from laburnumsill.core import errors
from laburnumsill.core import replication
from laburnumsill.state import claim_records

MAX_CLAIMS = 50_000
"""Limit of the records in one domain's group."""

MAX_ANSWERS_BYTES = 8 * 1024 * 1024
"""Limit of the bytes of stored answer bodies in one domain's group."""

MAX_ENDED_ATTEMPTS = 16
"""Ended attempts recorded for each key, to refuse late claim commands."""

MAX_PRUNED_PER_COMMAND = 16
"""Limit of the expired records that one command removes, so that the time to
apply a command is bounded."""


@codec.register("claims.dump")
@dataclasses.dataclass(frozen=True, slots=True)
class _Dump:
    records: tuple[claim_records.ClaimRecord, ...]
    answer_order: tuple[str, ...]


class Claims(replication.Component):
    """State machine component for the claims of one home domain."""

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
        """Total bytes of the stored answer bodies."""
        return self._answers_bytes

    def __len__(self) -> int:
        return len(self._records)

    def commands(self) -> dict[type, replication.Handler]:
        """Returns the handlers by command type."""
        return {
            claim_records.ClaimRequest: self._claim,
            claim_records.RefuseRequest: self._refuse,
            claim_records.SettleRequest: self._settle,
        }

    def queries(self) -> dict[type, replication.Handler]:
        """Returns the handlers by query type."""
        return {claim_records.GetClaim: self._get}

    def dump(self) -> bytes:
        """Returns all records, encoded."""
        records = tuple(self._records[key] for key in sorted(self._records))
        return codec.encode(_Dump(records, tuple(self._answer_order)))

    def load(self, raw: bytes) -> None:
        """Replaces all records by those that `dump` returned."""
        dump: _Dump = codec.decode(raw)
        self._clear()
        self._records = {record.key: record for record in dump.records}
        self._by_forget_at.update(
            (record.forget_at, record.key) for record in dump.records
        )
        for key in dump.answer_order:
            answer = self._records[key].answer
            self._add_answer_size(key, len(answer.body) if answer else 0)

    def _claim(
        self, command: claim_records.ClaimRequest
    ) -> claim_records.ClaimStatus:
        record = self._live_record(command.key, command.now)
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
        self._set_forget_at(record, command.forget_at)
        return _status(record, record.state, granted=True)

    def _claim_new(
        self, command: claim_records.ClaimRequest
    ) -> claim_records.ClaimStatus:
        self._check_capacity()
        record = claim_records.ClaimRecord(
            command.key,
            command.digest,
            command.attempt,
            claim_records.ClaimState.IN_PROGRESS,
            command.deadline,
            command.forget_at,
        )
        self._add_record(record)
        return _status(record, record.state, granted=True)

    def _refuse(
        self, command: claim_records.RefuseRequest
    ) -> claim_records.ClaimStatus:
        record = self._live_record(command.key, command.now)
        if record is None:
            record = self._put_not_run(command.key, command.digest, command.now)
        _check_digest(record, command.digest)
        if record.state is claim_records.ClaimState.NOT_RUN:
            self._raise_fence(record, command.now)
        return _status(record, record.state_at(command.now))

    def _settle(
        self, command: claim_records.SettleRequest
    ) -> claim_records.ClaimStatus:
        record = self._live_record(command.key, command.now)
        if record is None:
            # The claim was not applied, so nothing ran. Record the end of
            # the attempt, so that the claim is refused if applied late.
            record = self._put_not_run(command.key, command.digest, command.now)
            _end_attempt(record, command.attempt)
            return _status(record, record.state)
        _check_digest(record, command.digest)
        if record.attempt != command.attempt:
            self._end_other_attempt(record, command.attempt)
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
            _end_attempt(record, command.attempt)
            self._raise_fence(record, command.now)
            return
        record.ended = ()  # not needed: the claim is never granted again
        self._set_forget_at(record, command.forget_at)
        if command.answer is not None:
            record.answer = command.answer
            self._add_answer_size(record.key, len(command.answer.body))

    def _end_other_attempt(
        self, record: claim_records.ClaimRecord, attempt: str
    ) -> None:
        if record.state in (
            claim_records.ClaimState.IN_PROGRESS,
            claim_records.ClaimState.NOT_RUN,
        ):
            _end_attempt(record, attempt)

    def _put_not_run(
        self, key: str, digest: str, now: float
    ) -> claim_records.ClaimRecord:
        self._check_capacity()
        forget_at = now + claim_records.NOT_RUN_RETENTION_S
        record = claim_records.ClaimRecord(
            key, digest, "", claim_records.ClaimState.NOT_RUN, now, forget_at
        )
        self._add_record(record)
        return record

    def _raise_fence(
        self, record: claim_records.ClaimRecord, now: float
    ) -> None:
        record.fence = max(record.fence, now + claim_records.FENCE_S)
        self._set_forget_at(record, now + claim_records.NOT_RUN_RETENTION_S)

    def _check_capacity(self) -> None:
        if len(self._records) >= self._max_claims:
            raise errors.OverloadedError(
                f"{len(self._records)} claims are held, the most there may be"
            )

    def _get(self, query: claim_records.GetClaim) -> claim_records.ClaimStatus:
        record = self._records.get(query.key)
        if record is None or record.forget_at <= query.now:
            return claim_records.ClaimStatus(False, None, "", None)
        return _status(record, record.state_at(query.now))

    def _live_record(
        self, key: str, now: float
    ) -> claim_records.ClaimRecord | None:
        """Removes expired records; returns the key's record if it is live."""
        record = self._records.get(key)
        if record is not None and record.forget_at <= now:
            self._remove_record(record)
            record = None
        for _ in range(MAX_PRUNED_PER_COMMAND):
            if not self._by_forget_at or self._by_forget_at[0][0] > now:
                break
            self._remove_record(self._records[self._by_forget_at[0][1]])
        return record

    def _remove_record(self, record: claim_records.ClaimRecord) -> None:
        self._by_forget_at.discard((record.forget_at, record.key))
        self._drop_answer(record.key)
        del self._records[record.key]

    def _add_record(self, record: claim_records.ClaimRecord) -> None:
        self._records[record.key] = record
        self._by_forget_at.add((record.forget_at, record.key))

    def _set_forget_at(
        self, record: claim_records.ClaimRecord, forget_at: float
    ) -> None:
        self._by_forget_at.discard((record.forget_at, record.key))
        record.forget_at = forget_at
        self._by_forget_at.add((forget_at, record.key))

    def _add_answer_size(self, key: str, size: int) -> None:
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


def _end_attempt(record: claim_records.ClaimRecord, attempt: str) -> None:
    """Records that `attempt` has ended and must not be granted the claim."""
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
