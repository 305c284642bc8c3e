"""`laburnumsill account`, `member`, `group` and `check`."""

import typing

from fire import decorators

from laburnumsill.cli import client as clients
from laburnumsill.cli import failures
from laburnumsill.cli import session as sessions
from laburnumsill.cli import values
from laburnumsill.cli import views

_OK = 200


class AccountCommands:
    """Client accounts: guarantees, weights, use."""

    def __init__(self, session: sessions.Session) -> None:
        self._session = session

    def list(self) -> sessions.Action:
        """Lists the client accounts."""

        def run() -> None:
            answer = self._session.get("/v1/accounts")
            self._session.show_list(answer, views.accounts)

        return sessions.Action(run)

    @decorators.SetParseFn(str)
    def show(self, name: str) -> sessions.Action:
        """Shows one client account.

        Args:
            name: The account.
        """

        def run() -> None:
            path = f"/v1/accounts/{sessions.quote_segment(name)}"
            self._session.show(self._session.get(path), views.account)

        return sessions.Action(run)


class MemberCommands:
    """Backend servers and workers in the member table of one VM."""

    def __init__(self, session: sessions.Session) -> None:
        self._session = session

    @decorators.SetParseFn(str)
    def servers(self, service: str | None = None) -> sessions.Action:
        """Lists the backend servers.

        Args:
            service: Only backend servers of this service.
        """

        def run() -> None:
            answer = self._session.get("/v1/backend-servers", service=service)
            self._session.show_list(answer)

        return sessions.Action(run)

    @decorators.SetParseFn(str)
    def workers(self, domain: str | None = None) -> sessions.Action:
        """Lists the workers.

        Args:
            domain: Only workers of this failure domain.
        """

        def run() -> None:
            answer = self._session.get("/v1/workers", domain=domain)
            self._session.show_list(answer)

        return sessions.Action(run)


class GroupCommands:
    """The replica groups."""

    def __init__(self, session: sessions.Session) -> None:
        self._session = session

    def status(self) -> sessions.Action:
        """Shows the status of every replica, as reported by its VM."""

        def run() -> None:
            client = self._session.client()
            call = clients.Call("GET", "/v1/groups")
            rows: list[dict[str, typing.Any]] = []
            unanswered = []
            for address in client.addresses:
                answer = client.query(address, call)
                if answer is None or answer.status != _OK:
                    unanswered.append(address)
                    continue
                rows += [
                    {"address": address, **row}
                    for row in sessions.records(answer.json())
                ]
            _check_any_answered(unanswered, client)
            rows.sort(key=lambda row: (row["group"], row["address"]))
            self._session.show(
                rows, lambda replicas: [views.replica(row) for row in replicas]
            )
            if unanswered:
                raise failures.NotAllGoodError(
                    "no answer from " + ", ".join(unanswered)
                )

        return sessions.Action(run)

    @decorators.SetParseFn(str)
    def transfer(self, group: str, to: str | None = None) -> sessions.Action:
        """Transfers a group's leadership to another VM.

        Args:
            group: The group.
            to: The VM that becomes leader; any if left out.
        """

        def run() -> None:
            path = f"/v1/groups/{sessions.quote_segment(group)}/transfer"
            # Without a target, a resent call would transfer leadership again.
            answer = self._session.change(
                "POST", path, {"to": to}, idempotent=to is not None
            )
            self._session.show(answer)

        return sessions.Action(run)

    @decorators.SetParseFn(str)
    def replace(
        self, group: str, old: str | None = None, new: str | None = None
    ) -> sessions.Action:
        """Replaces a voter of a group whose VM is permanently lost.

        Args:
            group: The group.
            old: The VM that is lost.
            new: The VM that replaces it.
        """

        def run() -> None:
            path = f"/v1/groups/{sessions.quote_segment(group)}/replace"
            body = {
                "old": values.required_text("--old", old),
                "new": values.required_text("--new", new),
            }
            answer = self._session.change("POST", path, body)
            self._session.show(answer)

        return sessions.Action(run)


def check(session: sessions.Session) -> None:
    """Shows the readiness of each VM, with the reason if it is not ready.

    Raises:
        failures.NotAllGoodError: At least one VM is not ready.
        failures.NoVmAnsweredError: No VM answered.
    """
    client = session.client()
    call = clients.Call("GET", "/readyz")
    rows = []
    unanswered = []
    for address in client.addresses:
        answer = client.query(address, call)
        if answer is None:
            unanswered.append(address)
            rows.append(_readiness(address, "", False, "no answer"))
            continue
        body = answer.json()
        ready = answer.status == _OK
        reason = "" if ready else body.get("detail", "")
        rows.append(_readiness(address, body.get("vm", ""), ready, reason))
    _check_any_answered(unanswered, client)
    session.show(rows)
    not_ready = [row["address"] for row in rows if not row["ready"]]
    if not_ready:
        raise failures.NotAllGoodError(
            "not ready: " + ", ".join(str(address) for address in not_ready)
        )


def _readiness(
    address: str, vm: str, ready: bool, reason: str
) -> dict[str, str | bool]:
    return {"address": address, "vm": vm, "ready": ready, "reason": reason}


def _check_any_answered(unanswered: list[str], client: clients.Client) -> None:
    if len(unanswered) == len(client.addresses):
        raise failures.NoVmAnsweredError(
            "no answer from " + ", ".join(client.addresses)
        )
