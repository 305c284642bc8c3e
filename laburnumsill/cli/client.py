"""HTTP calls to the VMs, one after the other until one answers.

A call that certainly was not sent goes to the next VM. So does one that was
sent and not answered, but only if resending it is harmless: it reads, or
the VMs know it again by its Idempotency-Key, which is made once a call.
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
"""Time that a VM has to take a connection."""

LEAST_ATTEMPT_S = 2.0
"""Time that one VM has at least before the next is tried."""

ROUND_PAUSE_S = 0.2
"""Pause before the VMs are tried again that said to try later."""

OUTCOME_HEADER = "laburnumsill-outcome"
OUTCOME_ANSWERED = "answered"
OUTCOME_UNKNOWN = "unknown"

_UNSENT = (
    httpcore.ConnectError,
    httpcore.ConnectTimeout,
    httpcore.PoolTimeout,
)
_MAYBE_SENT = (
    httpcore.NetworkError,
    httpcore.TimeoutException,
    httpcore.ProtocolError,
)
_UNAVAILABLE = 503
_OWN_MEMBERS = frozenset(
    {"title", "status", "self", "problem", "retry_after_s", "answered_by"}
)
"""Members of a problem that would clash with a refusal's own fields."""

_PROBLEM = "application/problem+json"

Headers = dict[str, str]


@dataclasses.dataclass(frozen=True, slots=True)
class Call:
    """One call, the same for each VM that it is tried at.

    Attributes:
        method: The HTTP method.
        path: The path with its query.
        body: The body.
        headers: Headers besides the ones that HTTP needs.
        resendable: Whether sending it twice is harmless.
    """

    method: str
    path: str
    body: bytes = b""
    headers: Headers = dataclasses.field(default_factory=dict)
    resendable: bool = True

    @property
    def reads(self) -> bool:
        """Whether the call changes nothing."""
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
        """Whether the body is a problem of the system's own."""
        return self.headers.get("content-type", "").startswith(_PROBLEM)

    @property
    def tells_to_retry(self) -> bool:
        """Whether the VM did nothing, or may have, and another can help."""
        by_server = self.headers.get(OUTCOME_HEADER) == OUTCOME_ANSWERED
        if by_server or not self.is_problem:
            return False
        return self.is_unknown or self.status == _UNAVAILABLE

    @property
    def is_unknown(self) -> bool:
        """Whether the VM says that it may have been done."""
        if self.headers.get(OUTCOME_HEADER) == OUTCOME_UNKNOWN:
            return True
        return self.refusal().problem in failures.UNKNOWN_SLUGS

    def json(self) -> typing.Any:
        """Returns the body's values.

        Raises:
            failures.RefusedError: The body is no JSON.
        """
        try:
            return orjson.loads(self.body)
        except orjson.JSONDecodeError as error:
            raise failures.RefusedError(
                f"{self.address} answered {self.status} without JSON"
            ) from error

    def refusal(self) -> failures.RefusedError:
        """Returns the error that stands for an answer with a problem."""
        problem = self.json() if self.is_problem else {}
        if not isinstance(problem, dict):
            problem = {}
        slug = str(problem.pop("type", "")).rpartition("/")[2]
        detail = str(problem.pop("detail", f"status {self.status}"))
        for member in _OWN_MEMBERS:
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
        deadline: Monotonic point until which answers are waited for.
    """

    def __init__(self, addresses: abc.Sequence[str], deadline: float) -> None:
        self._addresses = addresses
        self._deadline = deadline

    @property
    def addresses(self) -> abc.Sequence[str]:
        """The VMs' client addresses."""
        return self._addresses

    def call(self, call: Call) -> Answer:
        """Returns the first good answer of a VM.

        Raises:
            failures.NoVmAnsweredError: No VM could be reached.
            failures.UnansweredError: It was sent and no VM told what became
                of it.
            failures.RefusedError: A VM answered with a problem.
        """
        answer = self.answer(call)
        if answer.is_problem or answer.status >= 400:
            raise answer.refusal()
        return answer

    def answer(self, call: Call) -> Answer:
        """Returns the first final answer of a VM, problems too.

        Raises:
            failures.NoVmAnsweredError: No VM could be reached.
            failures.UnansweredError: It was sent and no VM told what became
                of it.
        """
        progress = _Progress(call)
        while True:
            for position, address in enumerate(self._addresses):
                left = len(self._addresses) - position
                answer = self._attempt(call, address, left, progress)
                if answer is not None:
                    return answer
            again = progress.told_to_retry is not None
            if not again or self._remaining() <= ROUND_PAUSE_S:
                return progress.end()
            time.sleep(ROUND_PAUSE_S)

    def ask(self, address: str, call: Call) -> Answer | None:
        """Returns one VM's answer to a read, None if it gives none."""
        try:
            return self._send(call, address, self._attempt_time(1))
        except (*_UNSENT, *_MAYBE_SENT):
            return None

    def _attempt(
        self, call: Call, address: str, vms_left: int, progress: "_Progress"
    ) -> Answer | None:
        """Returns a final answer, None if another VM is to be tried."""
        timeout_s = self._attempt_time(vms_left)
        if timeout_s <= 0:
            return None
        try:
            answer = self._send(call, address, timeout_s)
        except _UNSENT:
            return None
        except _MAYBE_SENT as error:
            progress.sent(address, error)
            return None
        if not answer.tells_to_retry:
            return answer
        progress.refused(answer)
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
        names = {
            name.decode("latin-1").lower(): value.decode("latin-1")
            for name, value in response.headers
        }
        return Answer(address, response.status, names, response.content)

    def _attempt_time(self, vms_left: int) -> float:
        remaining = self._remaining()
        return min(remaining, max(remaining / vms_left, LEAST_ATTEMPT_S))

    def _remaining(self) -> float:
        return self._deadline - time.monotonic()


class _Progress:
    """What the attempts of one call came to so far."""

    def __init__(self, call: Call) -> None:
        self._call = call
        self._sent_to: str | None = None
        self.told_to_retry: Answer | None = None

    def sent(self, address: str, error: Exception) -> None:
        """Notes that a VM got the call, maybe, and gave no answer.

        Raises:
            failures.UnansweredError: The call must not be sent again.
        """
        self._sent_to = address
        if not self._call.resendable:
            raise self._unanswered(repr(error))

    def refused(self, answer: Answer) -> None:
        """Notes that a VM answered with a problem that may pass.

        Raises:
            failures.RefusedError: The VM may have done it, and the call must
                not be sent again.
        """
        if answer.is_unknown and not self._call.resendable:
            raise answer.refusal()
        if answer.is_unknown:
            self._sent_to = answer.address
        self.told_to_retry = answer

    def end(self) -> Answer:
        """Returns the last refusal, or raises what the attempts came to.

        Raises:
            failures.NoVmAnsweredError: No VM could be reached.
            failures.UnansweredError: It may have been done.
        """
        if self._sent_to is not None and not self._call.reads:
            raise self._unanswered("no VM answered")
        if self.told_to_retry is not None:
            return self.told_to_retry
        raise failures.NoVmAnsweredError(
            f"no VM answered {self._call.method} {self._call.path}"
        )

    def _unanswered(self, reason: str) -> errors.OutcomeUnknownError:
        key = self._call.headers.get("Idempotency-Key")
        detail = f"sent to {self._sent_to}: {reason}; it may have been done"
        if key and self._call.resendable:
            detail += f"; resend with --key={key} to get its answer"
        return failures.UnansweredError(detail, key=key)
