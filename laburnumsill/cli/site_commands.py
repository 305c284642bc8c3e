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
    """Client accounts: guarantees, shares, use."""

    def __init__(self, session: sessions.Session) -> None:
        self._session = session

    def list(self) -> sessions.Action:
        """Lists the client accounts."""

        def run() -> None:
            found = self._session.get("/v1/accounts")
            self._session.show_list(found, views.accounts)

        return sessions.Action(run)

    @decorators.SetParseFn(str)
    def show(self, name: str) -> sessions.Action:
        """Shows one client account.

        Args:
            name: The account.
        """

        def run() -> None:
            path = f"/v1/accounts/{sessions.quoted(name)}"
            self._session.show(self._session.get(path), views.account)

        return sessions.Action(run)


class MemberCommands:
    """Backend servers and workers, as one VM knows them."""

    def __init__(self, session: sessions.Session) -> None:
        self._session = session

    @decorators.SetParseFn(str)
    def servers(self, service: str | None = None) -> sessions.Action:
        """Lists the backend servers.

        Args:
            service: Only this service's.
        """

        def run() -> None:
            found = self._session.get("/v1/backend-servers", service=service)
            self._session.show_list(found)

        return sessions.Action(run)

    @decorators.SetParseFn(str)
    def workers(self, domain: str | None = None) -> sessions.Action:
        """Lists the workers.

        Args:
            domain: Only this failure domain's.
        """

        def run() -> None:
            found = self._session.get("/v1/workers", domain=domain)
            self._session.show_list(found)

        return sessions.Action(run)


class GroupCommands:
    """The replica groups."""

    def __init__(self, session: sessions.Session) -> None:
        self._session = session

    def status(self) -> sessions.Action:
        """Shows every replica, as its own VM knows it."""

        def run() -> None:
            client = self._session.client()
            call = clients.Call("GET", "/v1/groups")
            rows: list[dict[str, typing.Any]] = []
            silent = []
            for address in client.addresses:
                answer = client.ask(address, call)
                if answer is None or answer.status != _OK:
                    silent.append(address)
                    continue
                rows += [
                    {"address": address, **row}
                    for row in sessions.records(answer.json())
                ]
            _check_any(silent, client)
            rows.sort(key=lambda row: (row["group"], row["address"]))
            self._session.show(
                rows, lambda found: [views.replica(row) for row in found]
            )
            if silent:
                raise failures.NotAllGoodError(
                    "no answer from " + ", ".join(silent)
                )

        return sessions.Action(run)

    @decorators.SetParseFn(str)
    def transfer(self, group: str, to: str | None = None) -> sessions.Action:
        """Hands a group's lead over to another VM.

        Args:
            group: The group.
            to: The VM that is to lead; any if left out.
        """

        def run() -> None:
            path = f"/v1/groups/{sessions.quoted(group)}/transfer"
            # Without a target a second transfer would move the lead again.
            answer = self._session.change(
                "POST", path, {"to": to}, resendable=to is not None
            )
            self._session.show(answer)

        return sessions.Action(run)

    @decorators.SetParseFn(str)
    def replace(
        self, group: str, old: str | None = None, new: str | None = None
    ) -> sessions.Action:
        """Replaces a VM that is lost for good in a group.

        Args:
            group: The group.
            old: The VM that is lost.
            new: The VM that takes its place.
        """

        def run() -> None:
            path = f"/v1/groups/{sessions.quoted(group)}/replace"
            body = {
                "old": values.text("--old", old),
                "new": values.text("--new", new),
            }
            answer = self._session.change("POST", path, body)
            self._session.show(answer)

        return sessions.Action(run)


def check(session: sessions.Session) -> None:
    """Shows whether each VM is ready, or why it is not.

    Raises:
        failures.NotAllGoodError: Some VM is not ready.
        failures.NoVmAnsweredError: No VM answered.
    """
    client = session.client()
    call = clients.Call("GET", "/readyz")
    rows = []
    silent = []
    for address in client.addresses:
        answer = client.ask(address, call)
        if answer is None:
            silent.append(address)
            rows.append(_readiness(address, "", False, "no answer"))
            continue
        body = answer.json()
        ready = answer.status == _OK
        reason = "" if ready else body.get("detail", "")
        rows.append(_readiness(address, body.get("vm", ""), ready, reason))
    _check_any(silent, client)
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


def _check_any(silent: list[str], client: clients.Client) -> None:
    if len(silent) == len(client.addresses):
        raise failures.NoVmAnsweredError(
            "no answer from " + ", ".join(client.addresses)
        )
