"""ASGI application for operators and workers."""

from laburnumsill.batch import domain_gateway
from laburnumsill.batch import intake as intakes
from laburnumsill.core import clock as clocks
from laburnumsill.core import errors
from laburnumsill.core import logs
from laburnumsill.core import metrics as metrics_module
from laburnumsill.core import replication
from laburnumsill.platform import announcements
from laburnumsill.platform import decoding
from laburnumsill.platform import http
from laburnumsill.state import highest_version

CONFIGURATION_PATH = "/-/config"
INSTANCES_PREFIX = "/-/instances/"
EVACUATIONS_PREFIX = "/-/evacuate/"

OPERATOR_TIMEOUT_S = 0.9
"""Shorter than the second after which an operator tries another VM. It counts
from the arrival of a request: a later one may have been answered there."""

REFUSED_STATUS = 400
"""Status for an invalid configuration. Any 4xx rejects it; after 400 the
operator's call ends at once."""


class ControlApp:
    """Serves operators' orders and the workers' announcements.

    Args:
        group: The group whose state machine holds the configuration.
        groups: Access to the group.
        intake: Receives the announcements.
        domains: Receives the orders to evacuate failure domains.
        control_port: Port on which the core VMs serve this application.
        clock: The clock of this process.
        metrics: Receives the counters.
    """

    def __init__(
        self,
        group: str,
        groups: replication.Groups,
        intake: intakes.WorkerIntake,
        domains: domain_gateway.DomainGateway,
        control_port: int,
        clock: clocks.Clock,
        metrics: metrics_module.Metrics,
    ) -> None:
        self._group = group
        self._groups = groups
        self._intake = intake
        self._domains = domains
        self._control_port = control_port
        self._clock = clock
        self._metrics = metrics
        self._packed = b""
        self._document = b""

    async def __call__(
        self, scope: http.Scope, receive: http.Receive, send: http.Send
    ) -> None:
        """Serves one request."""
        if scope["type"] != "http":
            return
        request = http.request_of(scope)
        reason = ""
        try:
            answer = await self._answer(request, receive)
        except http.DisconnectedError:
            return
        except errors.OutcomeUnknownError as error:
            answer = http.failure(503, error)
            reason = error.detail
        except errors.LaburnumsillError as error:
            answer = http.failure(error.status, error)
            reason = error.detail
        await http.send_answer(send, answer)
        self._record(request, answer, reason)

    async def _answer(
        self, request: http.Request, receive: http.Receive
    ) -> http.Answer:
        """Returns the answer to a request; an unknown path is not read."""
        path = request.path
        if path == CONFIGURATION_PATH:
            answer = self._answer_configuration
        elif path.startswith(INSTANCES_PREFIX):
            answer = self._answer_worker
        elif path.startswith(EVACUATIONS_PREFIX):
            answer = self._answer_evacuation
        else:
            return http.Answer(404)
        body = await http.read_body(receive, announced=request.announced_bytes)
        return await answer(request, body)

    async def _answer_configuration(
        self, request: http.Request, body: bytes
    ) -> http.Answer:
        if request.method == "PUT":
            return await self._put_configuration(body)
        if request.method == "GET":
            return await self._get_configuration(self._deadline(request))
        return http.Answer(405)

    async def _answer_worker(
        self, request: http.Request, body: bytes
    ) -> http.Answer:
        worker_id = request.path[len(INSTANCES_PREFIX) :]
        self._deadline(request)
        if request.method == "PUT":
            return await self._announce(worker_id, body)
        if request.method == "DELETE":
            announcements.check_worker_id(worker_id)
            await self._intake.leave(worker_id)
            return http.json_answer(200, {})
        return http.Answer(405)

    async def _answer_evacuation(
        self, request: http.Request, body: bytes
    ) -> http.Answer:
        del body  # an order has none
        domain = request.path[len(EVACUATIONS_PREFIX) :]
        deadline = self._deadline(request)
        if request.method == "POST":
            await self._domains.evacuate(domain, deadline)
            return http.json_answer(200, {})
        if request.method == "DELETE":
            await self._domains.restore(domain, deadline)
            return http.json_answer(200, {})
        return http.Answer(405)

    def _deadline(self, request: http.Request) -> float:
        """Returns until when the caller certainly waits.

        Raises:
            http.LateRequestError: It may have left already.
        """
        return request.deadline(self._clock.monotonic(), OPERATOR_TIMEOUT_S)

    async def _put_configuration(self, body: bytes) -> http.Answer:
        """Proposes a configuration.

        The document may be large and take long to arrive, so its caller's
        patience counts from its end. One that waited here reverts no later
        one, as the highest version is in force.
        """
        try:
            decoded = decoding.configuration(body)
        except errors.InvalidConfigurationError as error:
            logs.event(
                "configuration-refused", "WARNING", reason=error.detail[:200]
            )
            return http.failure(REFUSED_STATUS, error)
        packed = highest_version.pack(body)
        command = highest_version.PutDocument(decoded.version, packed)
        deadline = self._clock.monotonic() + OPERATOR_TIMEOUT_S
        result = await self._groups.propose(self._group, command, deadline)
        logs.event(
            "configuration-accepted",
            version=decoded.version,
            in_force=result.version_in_force,
            bytes=len(body),
            packed_bytes=len(packed),
        )
        return http.json_answer(200, {})

    async def _get_configuration(self, deadline: float) -> http.Answer:
        document = await self._groups.query(
            self._group, highest_version.DocumentQuery(), deadline
        )
        if not document.packed:
            raise errors.UnavailableError("no configuration was accepted yet")
        return http.Answer(200, self._unpacked(document.packed))

    def _unpacked(self, packed: bytes) -> bytes:
        """Returns a document, as one object for all answers that send it."""
        if packed != self._packed:
            self._packed = packed
            self._document = highest_version.unpack(packed)
        return self._document

    async def _announce(self, worker_id: str, body: bytes) -> http.Answer:
        announcement = announcements.decode(worker_id, body)
        leader = await self._intake.announce(announcement)
        address = f"{leader}:{self._control_port}"
        return http.json_answer(200, {"heartbeat_addr": address})

    def _record(
        self, request: http.Request, answer: http.Answer, reason: str
    ) -> None:
        is_worker = request.path.startswith(INSTANCES_PREFIX)
        self._metrics.count(
            "control_requests_total",
            method=request.method,
            subject="worker" if is_worker else "operator",
            status=str(answer.status),
        )
        if answer.status >= 300:
            logs.event(
                "control-request-failed",
                "WARNING",
                method=request.method,
                path=request.path[:80],
                status=answer.status,
                reason=reason[:200],
            )
