"""Durable requests: accepted once committed, kept until they have succeeded.

Memory: the bodies that wait take at most `MAX_PENDING_BYTES`, and there are
at most `MAX_DURABLE` records; beyond either, new ones are refused. An ended
request keeps its outcome and its answer's status, not its body.
"""

import collections
import dataclasses
import enum

import sortedcontainers

from laburnumsill.core import codec
from laburnumsill.core import errors
from laburnumsill.core import replication

MAX_DURABLE = 50_000
"""Records in one domain's group."""

MAX_PENDING_BYTES = 16 * 1024 * 1024
"""Bytes of all pending requests in one domain's group."""

MAX_ACCOUNT_SHARE = 0.5
"""Part of these bytes that one account may take, so that its flood does not
shut out the others."""

PRUNED_PER_COMMAND = 16
"""Records forgotten at most by one command."""

_RECORD_BYTES = 512
"""What a pending record counts beside its body and headers."""


class DurableState(enum.StrEnum):
    """What is known of a durable request.

    A request expires when no success was recorded by its deadline. One that
    is not repeatable ends as failed by an answer that is no success, and as
    unknown where its answer was lost.
    """

    PENDING = "pending"
    SUCCEEDED = "succeeded"
    EXPIRED = "expired"
    FAILED = "failed"
    UNKNOWN = "unknown"


@codec.register("durable.work")
@dataclasses.dataclass(frozen=True, slots=True)
class DurableWork:
    """What is to be sent to a backend server.

    Attributes:
        service: The service.
        request_class: The class, as the configuration names it.
        account: The client account.
        idempotency_key: The caller's own key.
        method: The HTTP method.
        target: Path and query.
        headers: End-to-end headers.
        body: The whole body.
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
    """Accepts a request; idempotent by `key`.

    Attributes:
        key: The idempotency key with its service and account.
        digest: Digest of method, path and body.
        work: What is to be sent.
        now: Wall time of the proposal.
        deadline: Wall time after which it is given up.
        forget_at: Wall time after which the record is dropped.
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
    """Records how a durable request ended; the first end stays.

    Attributes:
        key: The key.
        state: Anything but `DurableState.PENDING`.
        status: HTTP status of the answer, 0 without one.
        now: Wall time of the proposal.
        forget_at: Wall time after which the record is dropped.
    """

    key: str
    state: DurableState
    status: int
    now: float
    forget_at: float


@codec.register("durable.get")
@dataclasses.dataclass(frozen=True, slots=True)
class GetDurable:
    """Asks what is known of a key."""

    key: str


@codec.register("durable.status")
@dataclasses.dataclass(frozen=True, slots=True)
class DurableStatus:
    """What is known of a key; `state` is None where there is no record."""

    state: DurableState | None
    status: int = 0
    accepted_at: float = 0.0
    deadline: float = 0.0


@codec.register("durable.record")
@dataclasses.dataclass(slots=True)
class DurableRecord:
    """One key; `work` is None once it has ended."""

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
    """The durable requests whose home is one failure domain."""

    def __init__(
        self,
        max_records: int = MAX_DURABLE,
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
        """The requests that have not ended, by key, oldest first."""
        return self._pending

    @property
    def pending_bytes(self) -> int:
        """Bytes that the pending requests count."""
        return self._pending_bytes.total()

    def __len__(self) -> int:
        return len(self._records)

    def commands(self) -> dict[type, replication.Handler]:
        """Returns the handlers of both commands."""
        return {AcceptDurable: self._accept, EndDurable: self._end}

    def queries(self) -> dict[type, replication.Handler]:
        """Returns the handler of the one query."""
        return {GetDurable: self._get}

    def dump(self) -> bytes:
        """Returns all records in the order of their acceptance."""
        return codec.encode(_Dump(tuple(self._records.values())))

    def load(self, raw: bytes) -> None:
        """Replaces all records."""
        dump: _Dump = codec.decode(raw)
        self._clear()
        for record in dump.records:
            self._put(record)

    def _accept(self, command: AcceptDurable) -> DurableStatus:
        self._prune(command.now)
        record = self._records.get(command.key)
        if record is not None:
            if record.digest != command.digest:
                raise errors.KeyReusedError(
                    f"key {command.key!r} was used with another request"
                )
            return _status(record)
        self._check_room(command.work)
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
        self._put(record)
        return _status(record)

    def _check_room(self, work: DurableWork) -> None:
        size = _size(work)
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
        self._prune(command.now)
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

    def _put(self, record: DurableRecord) -> None:
        self._records[record.key] = record
        self._by_forget_at.add((record.forget_at, record.key))
        if record.work is not None:
            self._pending[record.key] = record
            self._pending_bytes[record.work.account] += _size(record.work)

    def _drop_work(self, record: DurableRecord) -> None:
        if record.work is not None:
            account = record.work.account
            self._pending_bytes[account] -= _size(record.work)
            if not self._pending_bytes[account]:
                del self._pending_bytes[account]
            del self._pending[record.key]
            record.work = None

    def _prune(self, now: float) -> None:
        """Forgets ended records; a pending one is kept until it ends."""
        for _ in range(PRUNED_PER_COMMAND):
            if not self._by_forget_at or self._by_forget_at[0][0] > now:
                return
            _, key = self._by_forget_at.pop(0)
            record = self._records[key]
            if record.state is not DurableState.PENDING:
                del self._records[key]


def _size(work: DurableWork) -> int:
    headers = sum(len(name) + len(value) for name, value in work.headers)
    return _RECORD_BYTES + len(work.target) + headers + len(work.body)


def _status(record: DurableRecord) -> DurableStatus:
    return DurableStatus(
        record.state, record.status, record.accepted_at, record.deadline
    )
