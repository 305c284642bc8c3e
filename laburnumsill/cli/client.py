"""HTTP client that tries the VMs in order until one answers.

A call that was not sent is retried with the next VM. A call that was sent but
not answered is retried only if it is idempotent: it is read-only, or the VMs
recognize it by its Idempotency-Key, which is generated once per call.
"""

import dataclasses
import time
import typing
from collections import abc

import httpcore
import orjson

from laburnumsill.cli import failures
from laburnumsill.core import errors

CONNECT_TIMEOUT_S = 1.0
"""Timeout for connecting to a VM."""

MIN_ATTEMPT_TIMEOUT_S = 2.0
"""Minimum timeout of an attempt at one VM, unless the deadline is earlier."""

ROUND_INTERVAL_S = 0.2
"""Wait between two rounds over all VMs, after a retryable answer."""

OUTCOME_HEADER = "laburnumsill-outcome"
OUTCOME_ANSWERED = "answered"
OUTCOME_UNKNOWN = "unknown"

_NOT_SENT_ERRORS = (
    httpcore.ConnectError,
    httpcore.ConnectTimeout,
    httpcore.PoolTimeout,
)
_MAYBE_SENT_ERRORS = (
    httpcore.NetworkError,
    httpcore.TimeoutException,
    httpcore.ProtocolError,
)
_UNAVAILABLE = 503
_RESERVED_MEMBERS = frozenset(
    {"title", "status", "self", "problem", "retry_after_s", "answered_by"}
)
"""Members of a problem that would clash with fields of `RefusedError`."""

_PROBLEM = "application/problem+json"

Headers = dict[str, str]


@dataclasses.dataclass(frozen=True, slots=True)
class Call:
    """An HTTP call, sent unchanged in each attempt.

    Attributes:
        method: The HTTP method.
        path: The path with its query.
        body: The body.
        headers: Additional headers.
        idempotent: Whether sending the call twice has the effect of sending
            it once.
    """

    method: str
    path: str
    body: bytes = b""
    headers: Headers = dataclasses.field(default_factory=dict)
    idempotent: bool = True

    @property
    def read_only(self) -> bool:
        """Whether the call changes no state."""
        return self.method in ("GET", "HEAD")


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """A VM's answer.

    Attributes:
        address: The VM that answered.
        status: The HTTP status.
        headers: The headers, names in lower case.
        body: The body.
    """

    address: str
    status: int
    headers: Headers
    body: bytes

    @property
    def is_problem(self) -> bool:
        """Whether the body is a problem response."""
        return self.headers.get("content-type", "").startswith(_PROBLEM)

    @property
    def is_retryable(self) -> bool:
        """Whether the call may succeed at another VM or later.

        This holds for problem responses of the VM itself with status 503 or
        with an unknown outcome, not for answers of a backend server.
        """
        by_server = self.headers.get(OUTCOME_HEADER) == OUTCOME_ANSWERED
        if by_server or not self.is_problem:
            return False
        return self.outcome_unknown or self.status == _UNAVAILABLE

    @property
    def outcome_unknown(self) -> bool:
        """Whether the answer leaves open if the call was executed."""
        if self.headers.get(OUTCOME_HEADER) == OUTCOME_UNKNOWN:
            return True
        return self.refusal().problem in failures.UNKNOWN_SLUGS

    def json(self) -> typing.Any:
        """Returns the decoded JSON body.

        Raises:
            failures.RefusedError: The body is not valid JSON.
        """
        try:
            return orjson.loads(self.body)
        except orjson.JSONDecodeError as error:
            raise failures.RefusedError(
                f"{self.address} answered {self.status} without JSON"
            ) from error

    def refusal(self) -> failures.RefusedError:
        """Returns the error for an answer with a problem or an error status."""
        problem = self.json() if self.is_problem else {}
        if not isinstance(problem, dict):
            problem = {}
        slug = str(problem.pop("type", "")).rpartition("/")[2]
        detail = str(problem.pop("detail", f"status {self.status}"))
        for member in _RESERVED_MEMBERS:
            problem.pop(member, None)
        return failures.RefusedError(
            detail,
            problem=slug or "status",
            answered_by=self.address,
            **problem,
        )


class Client:
    """Calls the VMs at `addresses` until a deadline.

    Args:
        addresses: The VMs' client addresses, tried in this order.
        deadline: Monotonic time of the deadline of all calls.
    """

    def __init__(self, addresses: abc.Sequence[str], deadline: float) -> None:
        self._addresses = addresses
        self._deadline = deadline

    @property
    def addresses(self) -> abc.Sequence[str]:
        """The VMs' client addresses."""
        return self._addresses

    def call(self, call: Call) -> Answer:
        """Returns the first successful answer of a VM.

        Raises:
            failures.NoVmAnsweredError: No VM could be reached.
            failures.UnansweredError: The call was sent and its outcome is
                unknown.
            failures.RefusedError: A VM answered with a problem or an error
                status.
        """
        answer = self.answer(call)
        if answer.is_problem or answer.status >= 400:
            raise answer.refusal()
        return answer

    def answer(self, call: Call) -> Answer:
        """Returns the first final answer of a VM, which may be a problem.

        Raises:
            failures.NoVmAnsweredError: No VM could be reached.
            failures.UnansweredError: The call was sent and its outcome is
                unknown.
        """
        attempts = _Attempts(call)
        while True:
            for position, address in enumerate(self._addresses):
                vms_left = len(self._addresses) - position
                answer = self._attempt(call, address, vms_left, attempts)
                if answer is not None:
                    return answer
            retryable = attempts.last_retryable is not None
            if not retryable or self._remaining() <= ROUND_INTERVAL_S:
                return attempts.result()
            time.sleep(ROUND_INTERVAL_S)

    def query(self, address: str, call: Call) -> Answer | None:
        """Returns one VM's answer to a read-only call, None without one."""
        try:
            return self._send(call, address, self._attempt_timeout(1))
        except (*_NOT_SENT_ERRORS, *_MAYBE_SENT_ERRORS):
            return None

    def _attempt(
        self, call: Call, address: str, vms_left: int, attempts: "_Attempts"
    ) -> Answer | None:
        """Returns a final answer, None if the next VM has to be tried."""
        timeout_s = self._attempt_timeout(vms_left)
        if timeout_s <= 0:
            return None
        try:
            answer = self._send(call, address, timeout_s)
        except _NOT_SENT_ERRORS:
            return None
        except _MAYBE_SENT_ERRORS as error:
            attempts.record_unanswered(address, error)
            return None
        if not answer.is_retryable:
            return answer
        attempts.record_retryable(answer)
        return None

    def _send(self, call: Call, address: str, timeout_s: float) -> Answer:
        timeout = {
            "connect": min(CONNECT_TIMEOUT_S, timeout_s),
            "read": timeout_s,
            "write": timeout_s,
            "pool": timeout_s,
        }
        headers = {"Host": address, **call.headers}
        if call.body:
            headers.setdefault("Content-Type", "application/json")
        with httpcore.ConnectionPool() as pool:
            response = pool.request(
                call.method,
                f"http://{address}{call.path}",
                headers=list(headers.items()),
                content=call.body or None,
                extensions={"timeout": timeout},
            )
        received = {
            name.decode("latin-1").lower(): value.decode("latin-1")
            for name, value in response.headers
        }
        return Answer(address, response.status, received, response.content)

    def _attempt_timeout(self, vms_left: int) -> float:
        remaining = self._remaining()
        return min(remaining, max(remaining / vms_left, MIN_ATTEMPT_TIMEOUT_S))

    def _remaining(self) -> float:
        return self._deadline - time.monotonic()


class _Attempts:
    """The results of the attempts at one call."""

    def __init__(self, call: Call) -> None:
        self._call = call
        self._sent_to: str | None = None
        self.last_retryable: Answer | None = None

    def record_unanswered(self, address: str, error: Exception) -> None:
        """Records that a call may have been sent and got no answer.

        Raises:
            failures.UnansweredError: The call is not idempotent.
        """
        self._sent_to = address
        if not self._call.idempotent:
            raise self._unanswered(repr(error))

    def record_retryable(self, answer: Answer) -> None:
        """Records a retryable answer.

        Raises:
            failures.RefusedError: The outcome is unknown and the call is not
                idempotent.
        """
        if answer.outcome_unknown and not self._call.idempotent:
            raise answer.refusal()
        if answer.outcome_unknown:
            self._sent_to = answer.address
        self.last_retryable = answer

    def result(self) -> Answer:
        """Returns the last retryable answer after the last attempt.

        Raises:
            failures.NoVmAnsweredError: No VM could be reached.
            failures.UnansweredError: The call may have been executed.
        """
        if self._sent_to is not None and not self._call.read_only:
            raise self._unanswered("no VM answered")
        if self.last_retryable is not None:
            return self.last_retryable
        raise failures.NoVmAnsweredError(
            f"no VM answered {self._call.method} {self._call.path}"
        )

    def _unanswered(self, reason: str) -> errors.OutcomeUnknownError:
        key = self._call.headers.get("Idempotency-Key")
        detail = f"sent to {self._sent_to}: {reason}; it may have been done"
        if key and self._call.idempotent:
            detail += f"; resend with --key={key} to get its answer"
        return failures.UnansweredError(detail, key=key)
