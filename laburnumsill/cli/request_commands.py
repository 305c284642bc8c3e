"""`laburnumsill request`: send a request to a service, show its outcome."""

from fire import decorators

from laburnumsill.cli import client as clients
from laburnumsill.cli import failures
from laburnumsill.cli import session as sessions
from laburnumsill.cli import values
from laburnumsill.core import ids

REQUEST_ID_HEADER = "laburnumsill-request-id"

_ERROR_STATUS = 400


class RequestCommands:
    """Requests to services."""

    def __init__(self, session: sessions.Session) -> None:
        self._session = session

    @decorators.SetParseFn(str)
    def send(
        self,
        service: str,
        path: str = "/",
        method: str | None = None,
        body: str = "",
        request_class: str | None = None,
        account: str | None = None,
        timeout_ms: str | None = None,
        key: str | None = None,
    ) -> sessions.Action:
        """Sends one request through a VM and shows the answer.

        Args:
            service: The service.
            path: The path and query at the backend server.
            method: The HTTP method; default: POST with a body, else GET.
            body: The body.
            request_class: The request's class; default: the first class of
                the service.
            account: The client account.
            timeout_ms: Timeout of the request in milliseconds.
            key: The Idempotency-Key; a new one if left out.
        """

        def run() -> None:
            headers = {sessions.KEY_HEADER: key or ids.fresh("cli")}
            if request_class is not None:
                headers["Laburnumsill-Class"] = request_class
            if account is not None:
                headers["Laburnumsill-Account"] = account
            if timeout_ms is not None:
                number = values.whole_number("--timeout-ms", timeout_ms, 1)
                headers["Laburnumsill-Timeout-Ms"] = str(number)
            target = f"/v1/services/{sessions.quote_segment(service)}/"
            call = clients.Call(
                method or ("POST" if body else "GET"),
                target + path.removeprefix("/"),
                body.encode(),
                headers,
            )
            answer = self._session.client().answer(call)
            self._show(answer, headers[sessions.KEY_HEADER])

        return sessions.Action(run)

    @decorators.SetParseFn(str)
    def show(
        self, key: str, service: str | None = None, account: str | None = None
    ) -> sessions.Action:
        """Shows the state of a not-repeatable or durable request.

        Args:
            key: The request's Idempotency-Key.
            service: The request's service.
            account: The request's client account, if it was sent with one.
        """

        def run() -> None:
            state = self._session.get(
                f"/v1/requests/{sessions.quote_segment(key)}",
                service=values.required_text("--service", service),
                account=account,
            )
            self._session.show(state)

        return sessions.Action(run)

    def _show(self, answer: clients.Answer, key: str) -> None:
        """Prints an answer.

        Raises:
            failures.UnansweredError: The outcome of the request is unknown.
            failures.RefusedError: The answer has an error status.
        """
        outcome = answer.headers.get(
            clients.OUTCOME_HEADER, clients.OUTCOME_UNKNOWN
        )
        self._session.show(
            {
                "status": answer.status,
                "outcome": outcome,
                "request_id": answer.headers.get(REQUEST_ID_HEADER),
                "key": key,
                "vm": answer.address,
                "body": answer.body.decode(errors="replace"),
            }
        )
        if outcome == clients.OUTCOME_UNKNOWN:
            raise failures.UnansweredError(
                f"the request may have run; ask with: request show {key}"
            )
        if answer.status >= _ERROR_STATUS:
            raise answer.refusal()
