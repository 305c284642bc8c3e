"""ASGI application for callers, who submit and query jobs."""

import abc

import msgspec

from laburnumsill.batch import caller_commands
from laburnumsill.batch import gateway as gateways
from laburnumsill.batch import model
from laburnumsill.config import site
from laburnumsill.core import clock as clocks
from laburnumsill.core import errors
from laburnumsill.core import logs
from laburnumsill.core import metrics as metrics_module
from laburnumsill.platform import decoding
from laburnumsill.platform import http
from laburnumsill.platform import submission_budget
from laburnumsill.platform import wire

READY_PATH = "/-/ready"
DEFAULT_DEADLINE_MS = 3_000
BEARER = "Bearer "
DEFAULT_MAX_SUBMISSION_BYTES = 16 * 1024 * 1024


class Front(abc.ABC):
    """State of the daemon that the application depends on."""

    @property
    @abc.abstractmethod
    def configuration(self) -> site.SiteConfiguration | None:
        """The configuration in force, None without one."""

    @property
    @abc.abstractmethod
    def may_refuse(self) -> bool:
        """Whether a queue or key may be rejected as unknown.

        False while a newer version of the configuration, which may define it,
        may not have arrived on this VM.
        """

    @property
    @abc.abstractmethod
    def ready(self) -> bool:
        """Whether the load balancer should send callers to this VM."""


class CallerApp:
    """Serves `POST`, `GET` and `DELETE` of jobs and `GET` of queues.

    Args:
        front: State of the daemon.
        jobs: Stores jobs in the core.
        clock: The clock of this process.
        metrics: Receives the metrics.
        max_submission_bytes: Limit of the memory of all decoded submissions.
    """

    def __init__(
        self,
        front: Front,
        jobs: gateways.JobGateway,
        clock: clocks.Clock,
        metrics: metrics_module.Metrics,
        max_submission_bytes: int = DEFAULT_MAX_SUBMISSION_BYTES,
    ) -> None:
        self._front = front
        self._jobs = jobs
        self._clock = clock
        self._metrics = metrics
        self._submissions = submission_budget.SubmissionBudget(
            max_submission_bytes
        )

    async def __call__(
        self, scope: http.Scope, receive: http.Receive, send: http.Send
    ) -> None:
        """Serves one request."""
        if scope["type"] != "http":
            return
        began = self._clock.monotonic()
        request = http.request_of(scope)
        call = _Call(request)
        try:
            answer = await self._answer(call, receive, began)
        except http.DisconnectedError:
            return
        except errors.LaburnumsillError as error:
            answer = _error_answer(error)
            call.reason = error.slug
        await http.send_answer(send, answer)
        self._record(call, answer, began)

    async def ready(
        self, scope: http.Scope, receive: http.Receive, send: http.Send
    ) -> None:
        """Serves the readiness check of the load balancer."""
        if scope["type"] == "http":
            await http.send_answer(send, self._readiness())

    def _readiness(self) -> http.Answer:
        return http.Answer(200 if self._front.ready else 503)

    async def _answer(
        self, call: "_Call", receive: http.Receive, began: float
    ) -> http.Answer:
        """Returns the answer to a call.

        The body is read last: one of a caller without a key, or for no queue,
        needs no memory.
        """
        if call.request.path == READY_PATH:
            return self._readiness()
        configuration = self._front.configuration
        if configuration is None:
            raise NoConfigurationError("no configuration is in force here")
        call.version = configuration.version
        queue, account = self._admit(configuration, call.request)
        call.queue = queue.name
        call.account = account
        call.job = call.request.path[len(queue.path_prefix) :]
        limit = configuration.limits.max_body_bytes
        announced = call.request.announced_bytes
        body = await http.read_body(receive, limit, announced)
        patience_s = _deadline_ms(call.request, queue) / 1000
        deadline = call.request.deadline(began, patience_s)
        return await self._serve(call, queue, account, body, deadline)

    def _admit(
        self, configuration: site.SiteConfiguration, request: http.Request
    ) -> tuple[site.Queue, str]:
        """Returns the queue and the account of a request.

        Raises:
            UnknownQueueError: There is no such queue.
            UnknownKeyError: The key belongs to no account.
            NoConfigurationError: The queue or key is unknown here, but a newer
                version of the configuration may define it.
        """
        try:
            return _admit(configuration, request)
        except (UnknownQueueError, UnknownKeyError) as error:
            if self._front.may_refuse:
                raise
            raise NoConfigurationError(
                f"{error.detail}, or in a newer version only"
            ) from error

    async def _serve(
        self,
        call: "_Call",
        queue: site.Queue,
        account: str,
        body: bytes,
        deadline: float,
    ) -> http.Answer:
        method = call.request.method
        if not call.job and method == "GET":
            count = await self._jobs.pending_jobs(queue.name, deadline)
            return http.json_answer(200, {"pending": count})
        if not decoding.is_job_id(call.job):
            return http.Answer(404)
        if method == "POST":
            with self._submissions.holding(body):
                job = _decode(call.job, queue, account, body)
                await self._jobs.submit(job, deadline)
            return http.json_answer(200, {})
        if method == "GET":
            state = await self._jobs.job_state(call.job, deadline)
            return http.json_answer(200, {"state": state})
        if method == "DELETE":
            await self._jobs.cancel(call.job, account, deadline)
            return http.json_answer(200, {})
        return http.Answer(405)

    def _record(self, call: "_Call", answer: http.Answer, began: float) -> None:
        took_s = self._clock.monotonic() - began
        method = call.request.method
        self._metrics.count(
            "caller_requests_total", method=method, status=str(answer.status)
        )
        self._metrics.observe("caller_request_seconds", took_s, method=method)
        if answer.status == 200 and method == "GET":
            return  # read-only requests are frequent, so they are not logged
        logs.event(
            "caller-request",
            job=call.job,
            queue=call.queue,
            account=call.account,
            method=method,
            status=answer.status,
            reason=call.reason,
            version=call.version,
            took_ms=round(took_s * 1000),
        )


class _Call:
    """Fields of the log line of a request."""

    def __init__(self, request: http.Request) -> None:
        self.request = request
        self.queue = ""
        self.account = ""
        self.job = ""
        self.reason = ""
        self.version = -1


class NoConfigurationError(errors.UnavailableError):
    """This VM has no configuration that is known to be in force."""

    slug = "no-configuration"
    title = "No configuration is in force here"


class UnknownQueueError(errors.UnknownNameError):
    """No queue matches the host and path."""

    slug = "unknown-queue"
    title = "Unknown queue"


class UnknownKeyError(errors.InvalidInputError):
    """The API key is missing or belongs to no client account."""

    slug = "unknown-key"
    status = 401
    title = "Unknown API key"


def _admit(
    configuration: site.SiteConfiguration, request: http.Request
) -> tuple[site.Queue, str]:
    """Returns the queue and the account of a request.

    Raises:
        UnknownQueueError: There is no such queue.
        UnknownKeyError: The key belongs to no account.
    """
    host = request.headers.get("host", "").partition(":")[0]
    queue = configuration.queue_for(host, request.path)
    if queue is None:
        raise UnknownQueueError(f"{host} {request.path[:80]}")
    authorization = request.headers.get("authorization", "")
    key = authorization.removeprefix(BEARER)
    account = configuration.account_of(key) if key else None
    if account is None and not queue.is_public:
        raise UnknownKeyError("the key belongs to no client account")
    return queue, account.name if account else ""


def _decode(
    job_id: str, queue: site.Queue, account: str, body: bytes
) -> model.Job:
    """Returns the submitted job; what it was parsed from is freed."""
    submitted = decoding.parse(body, wire.JobBody)
    return decoding.job(job_id, queue, account, submitted)


def _deadline_ms(request: http.Request, queue: site.Queue) -> int:
    """Returns the caller's timeout in ms, counted from the request's start."""
    deadline_ms = request.number("x-deadline-ms")
    if deadline_ms is None:
        deadline_ms = DEFAULT_DEADLINE_MS
    return min(deadline_ms, queue.timeout_ms)


def _error_answer(error: errors.LaburnumsillError) -> http.Answer:
    """Returns the answer to a request that failed.

    In this protocol 503 means that a job was not accepted and never runs, so
    504 is returned for a job that may have been accepted. A withdrawn job is
    refused without a time to come back.
    """
    if isinstance(error, gateways.UnknownJobError):
        return http.Answer(410, msgspec.json.encode({"type": error.slug}))
    if isinstance(error, errors.OutcomeUnknownError):
        return http.failure(504, error)
    if isinstance(
        error, errors.UnavailableError | caller_commands.JobWithdrawnError
    ):
        return http.failure(503, error)
    return http.failure(error.status, error)
