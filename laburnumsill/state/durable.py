"""Durable requests: accepted once committed, stored until they have ended.

Memory: pending requests take at most `MAX_PENDING_BYTES`, and there are at
most `MAX_RECORDS` records; beyond either limit, new requests are refused. The
record of an ended request holds the outcome and the status of the answer, but
not the request's body.
"""

import collections
import dataclasses
import enum

import sortedcontainers

from laburnumsill.core import codec
from laburnumsill.core import errors
from laburnumsill.core import replication

MAX_RECORDS = 50_000
"""Limit of the records in one domain's group."""

MAX_PENDING_BYTES = 16 * 1024 * 1024
"""Limit of the bytes of all pending requests in one domain's group."""

MAX_ACCOUNT_SHARE = 0.5
"""Fraction of `MAX_PENDING_BYTES` that one account may use, so that one
account's burst leaves capacity for the others."""

MAX_PRUNED_PER_COMMAND = 16
"""Limit of the expired records that one command examines, so that the time
to apply a command is bounded."""

_RECORD_OVERHEAD_BYTES = 512
"""Bytes counted for a pending record besides target, headers and body."""


class DurableState(enum.StrEnum):
    """State of a durable request.

    A request expires if no success was recorded by its deadline. A request
    that is not repeatable fails at the first answer that is not a success,
    and its outcome is unknown if the answer was lost.
    """

    PENDING = "pending"
    SUCCEEDED = "succeeded"
    EXPIRED = "expired"
    FAILED = "failed"
    UNKNOWN = "unknown"


@codec.register("durable.work")
@dataclasses.dataclass(frozen=True, slots=True)
class DurableWork:
    """The request to send to a backend server.

    Attributes:
        service: The service.
        request_class: Name of the request class in the configuration.
        account: The client account.
        idempotency_key: The caller's idempotency key.
        method: The HTTP method.
        target: Path and query.
        headers: End-to-end headers.
        body: The complete body.
    """

    service: str
    request_class: str
    account: str
    idempotency_key: str
    method: str
    target: bytes
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes


@codec.register("durable.accept")
@dataclasses.dataclass(frozen=True, slots=True)
class AcceptDurable:
    """Command that accepts a request; idempotent by `key`.

    Attributes:
        key: The idempotency key with its service and account.
        digest: Digest of method, path and body.
        work: The request to send.
        now: Wall time of the proposal.
        deadline: Wall time after which the request expires.
        forget_at: Wall time of the record's expiry; a pending request's
            record stays, and `EndDurable` sets a new expiry.
    """

    key: str
    digest: str
    work: DurableWork
    now: float
    deadline: float
    forget_at: float


@codec.register("durable.end")
@dataclasses.dataclass(frozen=True, slots=True)
class EndDurable:
    """Command that records the outcome of a request; the first one stays.

    Attributes:
        key: The idempotency key with its service and account.
        state: The outcome; any state but `DurableState.PENDING`.
        status: HTTP status of the answer, 0 without an answer.
        now: Wall time of the proposal.
        forget_at: Wall time after which the record is pruned.
    """

    key: str
    state: DurableState
    status: int
    now: float
    forget_at: float


@codec.register("durable.get")
@dataclasses.dataclass(frozen=True, slots=True)
class GetDurable:
    """Query for the state of the request with a key."""

    key: str


@codec.register("durable.status")
@dataclasses.dataclass(frozen=True, slots=True)
class DurableStatus:
    """Answer to both commands and the query.

    Attributes:
        state: State of the request, None without a record.
        status: HTTP status of the answer, 0 without an answer.
        accepted_at: Wall time of the acceptance.
        deadline: Wall time after which the request expires.
    """

    state: DurableState | None
    status: int = 0
    accepted_at: float = 0.0
    deadline: float = 0.0


@codec.register("durable.record")
@dataclasses.dataclass(slots=True)
class DurableRecord:
    """Record of one request; `work` is None once the request has ended."""

    key: str
    digest: str
    work: DurableWork | None
    state: DurableState
    status: int
    accepted_at: float
    deadline: float
    forget_at: float


@codec.register("durable.dump")
@dataclasses.dataclass(frozen=True, slots=True)
class _Dump:
    records: tuple[DurableRecord, ...]


class DurableRequests(replication.Component):
    """State machine component for the durable requests of one home domain."""

    def __init__(
        self,
        max_records: int = MAX_RECORDS,
        max_pending_bytes: int = MAX_PENDING_BYTES,
    ) -> None:
        self._max_records = max_records
        self._max_pending_bytes = max_pending_bytes
        self._clear()

    def _clear(self) -> None:
        self._records: dict[str, DurableRecord] = {}
        self._pending: dict[str, DurableRecord] = {}
        self._pending_bytes: collections.Counter[str] = collections.Counter()
        self._by_forget_at = sortedcontainers.SortedSet()

    @property
    def name(self) -> str:
        """Returns ``durable``."""
        return "durable"

    @property
    def pending(self) -> dict[str, DurableRecord]:
        """The pending requests by key, the oldest first."""
        return self._pending

    @property
    def pending_bytes(self) -> int:
        """Bytes counted for all pending requests."""
        return self._pending_bytes.total()

    def __len__(self) -> int:
        return len(self._records)

    def commands(self) -> dict[type, replication.Handler]:
        """Returns the handlers by command type."""
        return {AcceptDurable: self._accept, EndDurable: self._end}

    def queries(self) -> dict[type, replication.Handler]:
        """Returns the handlers by query type."""
        return {GetDurable: self._get}

    def dump(self) -> bytes:
        """Returns all records, encoded, in the order of acceptance."""
        return codec.encode(_Dump(tuple(self._records.values())))

    def load(self, raw: bytes) -> None:
        """Replaces all records by those that `dump` returned."""
        dump: _Dump = codec.decode(raw)
        self._clear()
        for record in dump.records:
            self._add_record(record)

    def _accept(self, command: AcceptDurable) -> DurableStatus:
        self._prune_ended(command.now)
        record = self._records.get(command.key)
        if record is not None:
            if record.digest != command.digest:
                raise errors.KeyReusedError(
                    f"key {command.key!r} was used with another request"
                )
            return _status(record)
        self._check_capacity(command.work)
        record = DurableRecord(
            command.key,
            command.digest,
            command.work,
            DurableState.PENDING,
            0,
            command.now,
            command.deadline,
            command.forget_at,
        )
        self._add_record(record)
        return _status(record)

    def _check_capacity(self, work: DurableWork) -> None:
        size = _work_bytes(work)
        own = self._pending_bytes[work.account] + size
        if (
            len(self._records) >= self._max_records
            or self.pending_bytes + size > self._max_pending_bytes
            or own > self._max_pending_bytes * MAX_ACCOUNT_SHARE
        ):
            raise errors.OverloadedError(
                f"{len(self._pending)} durable requests wait, of account"
                f" {work.account!r} {own - size} bytes"
            )

    def _end(self, command: EndDurable) -> DurableStatus:
        self._prune_ended(command.now)
        record = self._records.get(command.key)
        if record is None:
            return DurableStatus(None)
        if record.state is DurableState.PENDING:
            self._drop_work(record)
            record.state = command.state
            record.status = command.status
            self._by_forget_at.discard((record.forget_at, record.key))
            record.forget_at = command.forget_at
            self._by_forget_at.add((record.forget_at, record.key))
        return _status(record)

    def _get(self, query: GetDurable) -> DurableStatus:
        record = self._records.get(query.key)
        return _status(record) if record else DurableStatus(None)

    def _add_record(self, record: DurableRecord) -> None:
        self._records[record.key] = record
        self._by_forget_at.add((record.forget_at, record.key))
        if record.work is not None:
            self._pending[record.key] = record
            self._pending_bytes[record.work.account] += _work_bytes(record.work)

    def _drop_work(self, record: DurableRecord) -> None:
        if record.work is not None:
            account = record.work.account
            self._pending_bytes[account] -= _work_bytes(record.work)
            if not self._pending_bytes[account]:
                del self._pending_bytes[account]
            del self._pending[record.key]
            record.work = None

    def _prune_ended(self, now: float) -> None:
        """Removes expired records.

        The record of a pending request stays; its expiry is indexed again
        when the request ends.
        """
        for _ in range(MAX_PRUNED_PER_COMMAND):
            if not self._by_forget_at or self._by_forget_at[0][0] > now:
                return
            _, key = self._by_forget_at.pop(0)
            record = self._records[key]
            if record.state is not DurableState.PENDING:
                del self._records[key]


def _work_bytes(work: DurableWork) -> int:
    headers = sum(len(name) + len(value) for name, value in work.headers)
    return _RECORD_OVERHEAD_BYTES + len(work.target) + headers + len(work.body)


def _status(record: DurableRecord) -> DurableStatus:
    return DurableStatus(
        record.state, record.status, record.accepted_at, record.deadline
    )
