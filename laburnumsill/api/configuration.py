"""HTTP endpoints for the configuration: push, read, status of each VM."""

import abc
import dataclasses
import typing

import orjson
import pydantic
import trio
from starlette import requests
from starlette import responses
from starlette import routing

from laburnumsill.api import policy_names
from laburnumsill.api import problems
from laburnumsill.config import canonical
from laburnumsill.config import current as current_configuration
from laburnumsill.config import difference
from laburnumsill.config import models
from laburnumsill.core import clock as clocks
from laburnumsill.core import errors
from laburnumsill.core import ids
from laburnumsill.core import logs
from laburnumsill.core import replication
from laburnumsill.state import configuration
from laburnumsill.state import configuration_versions

CALL_TIMEOUT_S = 8.0
"""Timeout of a push or a read."""

STATUS_TIMEOUT_S = 2.0
"""Timeout of the query for the accepted version in a status request."""

RETRY_INTERVAL_S = 0.1
"""Interval between proposals of the same push."""


@dataclasses.dataclass(frozen=True, slots=True)
class VmInForce:
    """The version in force on a VM, from the last notice of the VM.

    Attributes:
        vm: The VM.
        domain: Its failure domain.
        reachable: Whether the last contact is at most one second old.
        version: The version in force, 0 if none is known.
        digest: The digest of the version.
    """

    vm: str
    domain: str
    reachable: bool
    version: int
    digest: str


class InForce(abc.ABC):
    """Puts accepted versions in force on this VM, and tracks other VMs."""

    @abc.abstractmethod
    def offer(
        self, accepted: configuration_versions.AcceptedConfiguration
    ) -> None:
        """Puts an accepted version in force unless a newer one already is."""

    def kept(
        self, version: int
    ) -> configuration_versions.AcceptedConfiguration | None:
        """Returns an accepted version if this VM has a copy, else None."""
        return None

    async def refresh(self) -> None:
        """Queries the VMs for their version in force, before `status`."""
        await trio.lowlevel.checkpoint()

    @abc.abstractmethod
    def status(self) -> list[VmInForce]:
        """Returns the last known version in force on each VM."""


class UnknownDomainsError(errors.InvalidConfigurationError):
    """A configuration names a failure domain that has no VM."""

    slug = "unknown-domains"
    title = "No VM is in the failure domain"


class DomainsChangedError(errors.InvalidConfigurationError):
    """A configuration has other failure domains than the previous version.

    The home domain of a key is selected by a hash over the set of domains.
    With another set, a request that must run at most once could get another
    home domain and run again.
    """

    slug = "domains-changed"
    title = "The failure domains cannot be changed"


class Push(pydantic.BaseModel):
    """The body of a push.

    Attributes:
        expected_version: The version that the configuration is based on, 0
            for the first.
        configuration: The values of the configuration.
        operator: The name of the operator who pushes.
    """

    model_config = pydantic.ConfigDict(extra="forbid", strict=True)

    expected_version: int = pydantic.Field(ge=0)
    configuration: dict[str, typing.Any]
    operator: str = pydantic.Field(min_length=1, max_length=200)


def routes(
    groups: replication.Groups,
    current: current_configuration.Current,
    sync: InForce,
    clock: clocks.Clock,
) -> list[routing.Route]:
    """Returns the routes of this module.

    Args:
        groups: Access to the root group.
        current: The version in force on this VM.
        sync: Puts accepted versions in force on this VM.
        clock: The clock.
    """
    calls = _Endpoints(groups, current, sync, clock)
    return [
        routing.Route(
            "/v1/config", problems.guarded(calls.push), methods=["PUT"]
        ),
        routing.Route("/v1/config", problems.guarded(calls.read)),
        routing.Route("/v1/config/status", problems.guarded(calls.status)),
    ]


class _Endpoints:
    """The endpoints."""

    def __init__(
        self,
        groups: replication.Groups,
        current: current_configuration.Current,
        sync: InForce,
        clock: clocks.Clock,
    ) -> None:
        self._groups = groups
        self._current = current
        self._sync = sync
        self._clock = clock

    async def push(self, request: requests.Request) -> responses.Response:
        """Pushes a version; a resend with the same key gets the same answer."""
        push_body = await problems.read_model(request, Push)
        pushed = canonical.from_values(push_body.configuration)
        policy_names.check(pushed)
        self._check_domains_known(pushed)
        previous = await self._accepted(push_body.expected_version)
        self._check_domains_unchanged(pushed, previous)
        key = request.headers.get("Idempotency-Key")
        command = self._command(push_body, pushed, key)
        change = _difference(previous, command)
        accepted = await self._propose(command, change)
        self._sync.offer(
            configuration_versions.AcceptedConfiguration(
                accepted.version,
                accepted.digest,
                accepted.operator,
                accepted.accepted_at,
                command.body,
                change,
            )
        )
        logs.event(
            "configuration-accepted",
            version=accepted.version,
            digest=accepted.digest,
            operator=accepted.operator,
        )
        return problems.json_response(accepted)

    async def read(self, request: requests.Request) -> responses.Response:
        """Returns the accepted version, an older one, or the one in force."""
        parameters = request.query_params
        if "version" in parameters:
            query = configuration.ReadVersion(
                _parse_version(parameters["version"])
            )
            accepted = await self._query(query, CALL_TIMEOUT_S)
            return _accepted_response(accepted)
        if parameters.get("source", "accepted") == "in-force":
            return self._in_force_response()
        answer: configuration.CurrentAnswer = await self._query(
            configuration.ReadCurrent(), CALL_TIMEOUT_S
        )
        if answer.accepted is None:
            raise errors.NotFoundError("no configuration was accepted yet")
        return _accepted_response(answer.accepted)

    async def status(self, request: requests.Request) -> responses.Response:
        """Returns the version in force on each VM."""
        await self._sync.refresh()
        vms = self._sync.status()
        accepted = await self._accepted_version()
        newest = max([accepted or 0, *(vm.version for vm in vms)])
        behind = {vm.domain for vm in vms if vm.version < newest}
        return problems.json_response(
            {
                "accepted_version": accepted,
                "newest_version": newest,
                "in_force_everywhere": not behind,
                "domains_behind": sorted(behind),
                "unreachable": [vm.vm for vm in vms if not vm.reachable],
                "vms": vms,
            }
        )

    async def _accepted_version(self) -> int | None:
        """Returns the newest accepted version, None without a quorum."""
        try:
            answer: configuration.NewestAnswer = await self._query(
                configuration.ReadNewest(), STATUS_TIMEOUT_S
            )
        except errors.UnavailableError:
            return None
        return answer.version

    async def _query(self, query: object, timeout_s: float) -> typing.Any:
        deadline = self._clock.monotonic() + timeout_s
        return await self._groups.query(ids.ROOT_GROUP, query, deadline)

    def _in_force_response(self) -> responses.Response:
        versioned = self._current.versioned()
        if versioned is None:
            raise errors.NotFoundError("no configuration is in force yet")
        return problems.json_response(
            {
                "version": versioned.version,
                "digest": versioned.digest,
                "configuration": versioned.configuration.model_dump(
                    mode="json"
                ),
            }
        )

    def _command(
        self, push_body: Push, pushed: models.Configuration, key: str | None
    ) -> configuration.PushConfiguration:
        body = canonical.encode(pushed)
        digest = canonical.digest(body)
        derived_key = (
            f"{push_body.expected_version}/{digest}/{push_body.operator}"
        )
        return configuration.PushConfiguration(
            key or derived_key,
            push_body.expected_version,
            digest,
            body,
            self._clock.wall(),
            push_body.operator,
        )

    def _check_domains_known(self, pushed: models.Configuration) -> None:
        """Checks that each failure domain has a VM.

        Raises:
            UnknownDomainsError: A domain has no VM, and so no replica group.
        """
        known = {vm.domain for vm in self._sync.status()}
        unknown = sorted(set(pushed.domains) - known)
        if unknown:
            raise UnknownDomainsError(
                f"domains: got {unknown[0]!r}, expected one of"
                f" {', '.join(sorted(known))}",
                key="domains",
                value=unknown[0],
            )

    def _check_domains_unchanged(
        self,
        pushed: models.Configuration,
        previous: configuration_versions.AcceptedConfiguration | None,
    ) -> None:
        """Checks that the previous version has the same failure domains.

        Raises:
            DomainsChangedError: The sets of domains differ.
        """
        if previous is None:
            return
        domains = self._domains_of(previous)
        if domains != set(pushed.domains):
            raise DomainsChangedError(
                f"domains: got {', '.join(sorted(pushed.domains))}, expected"
                f" {', '.join(sorted(domains))} as in version"
                f" {previous.version}",
                key="domains",
            )

    def _domains_of(
        self, accepted: configuration_versions.AcceptedConfiguration
    ) -> set[str]:
        versioned = self._current.versioned()
        if versioned is not None and versioned.version == accepted.version:
            return set(versioned.configuration.domains)
        return set(canonical.decode(accepted.body).domains)

    async def _accepted(
        self, version: int
    ) -> configuration_versions.AcceptedConfiguration | None:
        """Returns an accepted version, None if it is not stored.

        A version that is not stored is not the newest one. A push based on it
        is either refused by the root group or was accepted before.
        """
        if not version:
            return None
        local = self._sync.kept(version)
        if local is not None:
            return local
        try:
            accepted: configuration_versions.AcceptedConfiguration = (
                await self._query(
                    configuration.ReadVersion(version), CALL_TIMEOUT_S
                )
            )
        except errors.NotFoundError:
            return None
        return accepted

    async def _propose(
        self,
        command: configuration.PushConfiguration,
        change: difference.Difference | None,
    ) -> configuration.PushAccepted:
        """Proposes a push as a difference.

        Proposes the complete body instead if `change` is None, or if the
        difference cannot be applied.

        Raises:
            errors.ProposalLostError: The push may have been accepted.
            errors.UnavailableError: The push was not accepted.
        """
        deadline = self._clock.monotonic() + CALL_TIMEOUT_S
        if change is not None:
            try:
                return await self._propose_with_retries(
                    configuration.PushDifference(
                        command.push_id,
                        command.expected_version,
                        command.digest,
                        change,
                        command.now,
                        command.operator,
                    ),
                    deadline,
                )
            except difference.UnfitDifferenceError as error:
                logs.event(
                    "configuration-difference-unfit",
                    level="ERROR",
                    expected_version=command.expected_version,
                    error=error.detail,
                )
        return await self._propose_with_retries(command, deadline)

    async def _propose_with_retries(
        self, command: configuration.Push, deadline: float
    ) -> configuration.PushAccepted:
        """Proposes a push until it is answered or the deadline passes.

        The push id makes the retries idempotent.
        """
        lost: errors.ProposalLostError | None = None
        while True:
            try:
                return await self._groups.propose(
                    ids.ROOT_GROUP, command, deadline
                )
            except errors.ProposalLostError as error:
                lost = error
                last: errors.LaburnumsillError = error
            except errors.UnavailableError as error:
                last = lost or error
            if self._clock.monotonic() + RETRY_INTERVAL_S >= deadline:
                raise last
            await trio.sleep(RETRY_INTERVAL_S)


def _difference(
    previous: configuration_versions.AcceptedConfiguration | None,
    command: configuration.PushConfiguration,
) -> difference.Difference | None:
    """Returns the difference between the previous body and the pushed one.

    Returns:
        None if the complete body has to be proposed: the previous version is
        unavailable, the difference is not smaller than the body, or the body
        is too large and has to be refused for its size.
    """
    too_large = len(command.body) > configuration.MAX_BODY_BYTES
    if previous is None or too_large:
        return None
    change = difference.difference(previous.body, command.body)
    if change is None or change.size >= len(command.body):
        return None
    return change


def _parse_version(text: str) -> int:
    try:
        return int(text)
    except ValueError as error:
        raise errors.InvalidInputError(
            f"version: got {text[:20]!r}, expected a whole number"
        ) from error


def _accepted_response(
    accepted: configuration_versions.AcceptedConfiguration,
) -> responses.Response:
    return problems.json_response(
        {
            "version": accepted.version,
            "digest": accepted.digest,
            "operator": accepted.operator,
            "accepted_at": accepted.accepted_at,
            "configuration": orjson.Fragment(accepted.body),
        }
    )
