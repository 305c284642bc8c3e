"""Operators' calls for the configuration: push, read, and in force where."""

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
"""Time that a push or a read has."""

STATUS_TIMEOUT_S = 2.0
"""Time that a quorum has to tell the accepted version to a status."""

RETRY_S = 0.1
"""Pause before a push is proposed again."""


@dataclasses.dataclass(frozen=True, slots=True)
class VmInForce:
    """What a VM last said is in force there.

    Attributes:
        vm: The VM.
        domain: Its failure domain.
        reachable: Whether it was heard from within a second.
        version: The version, 0 if it said none.
        digest: The version's digest.
    """

    vm: str
    domain: str
    reachable: bool
    version: int
    digest: str


class InForce(abc.ABC):
    """What brings accepted versions into force on this VM."""

    @abc.abstractmethod
    def offer(
        self, accepted: configuration_versions.AcceptedConfiguration
    ) -> None:
        """Puts an accepted version in force unless a newer one is."""

    def kept(
        self, version: int
    ) -> configuration_versions.AcceptedConfiguration | None:
        """Returns an accepted version if it is at hand on this VM."""
        return None

    async def refresh(self) -> None:
        """Asks VMs for the version in force there before a status."""
        await trio.lowlevel.checkpoint()

    @abc.abstractmethod
    def status(self) -> list[VmInForce]:
        """Returns what each VM last said is in force there."""


class UnknownDomainsError(errors.InvalidConfigurationError):
    """A configuration names a failure domain that has no VM."""

    slug = "unknown-domains"
    title = "No VM is in the failure domain"


class DomainsChangedError(errors.InvalidConfigurationError):
    """A configuration has other failure domains than the one before.

    The home of a key is a hash over them; with another set a request that
    must run at most once could find another home and run again.
    """

    slug = "domains-changed"
    title = "The failure domains cannot be changed"


class Push(pydantic.BaseModel):
    """The body of a push."""

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
        sync: What brings accepted versions into force on this VM.
        clock: The clock.
    """
    calls = _Calls(groups, current, sync, clock)
    return [
        routing.Route(
            "/v1/config", problems.guarded(calls.push), methods=["PUT"]
        ),
        routing.Route("/v1/config", problems.guarded(calls.read)),
        routing.Route("/v1/config/status", problems.guarded(calls.status)),
    ]


class _Calls:
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
        """Pushes a version; a resend with the same key gets one answer."""
        sent = await problems.read_model(request, Push)
        pushed = canonical.from_values(sent.configuration)
        policy_names.check(pushed)
        self._check_domains_known(pushed)
        before = await self._version(sent.expected_version)
        self._check_domains_stay(pushed, before)
        key = request.headers.get("Idempotency-Key")
        command = self._command(sent, pushed, key)
        change = _difference(before, command)
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
        wanted = request.query_params
        if "version" in wanted:
            query = configuration.ReadVersion(_number(wanted["version"]))
            accepted = await self._query(query, CALL_TIMEOUT_S)
            return _whole(accepted)
        if wanted.get("source", "accepted") == "in-force":
            return self._in_force()
        answer: configuration.CurrentAnswer = await self._query(
            configuration.ReadCurrent(), CALL_TIMEOUT_S
        )
        if answer.accepted is None:
            raise errors.NotFoundError("no configuration was accepted yet")
        return _whole(answer.accepted)

    async def status(self, request: requests.Request) -> responses.Response:
        """Returns which version is in force on each VM."""
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
        """Returns what a quorum says is accepted, None without a quorum."""
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

    def _in_force(self) -> responses.Response:
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
        self, sent: Push, pushed: models.Configuration, key: str | None
    ) -> configuration.PushConfiguration:
        body = canonical.encode(pushed)
        digest = canonical.digest(body)
        derived = f"{sent.expected_version}/{digest}/{sent.operator}"
        return configuration.PushConfiguration(
            key or derived,
            sent.expected_version,
            digest,
            body,
            self._clock.wall(),
            sent.operator,
        )

    def _check_domains_known(self, pushed: models.Configuration) -> None:
        """Checks the failure domains against the VMs.

        Raises:
            UnknownDomainsError: One has no VM, so no group either.
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

    def _check_domains_stay(
        self,
        pushed: models.Configuration,
        before: configuration_versions.AcceptedConfiguration | None,
    ) -> None:
        """Checks the failure domains against those of the version before.

        Raises:
            DomainsChangedError: They are not the same.
        """
        if before is None:
            return
        domains = self._domains_of(before)
        if domains != set(pushed.domains):
            raise DomainsChangedError(
                f"domains: got {', '.join(sorted(pushed.domains))}, expected"
                f" {', '.join(sorted(domains))} as in version"
                f" {before.version}",
                key="domains",
            )

    def _domains_of(
        self, accepted: configuration_versions.AcceptedConfiguration
    ) -> set[str]:
        versioned = self._current.versioned()
        if versioned is not None and versioned.version == accepted.version:
            return set(versioned.configuration.domains)
        return set(canonical.decode(accepted.body).domains)

    async def _version(
        self, version: int
    ) -> configuration_versions.AcceptedConfiguration | None:
        """Returns a version, None if it is not kept.

        One that is not kept is not the newest, so the push is refused later
        or was accepted before.
        """
        if not version:
            return None
        kept = self._sync.kept(version)
        if kept is not None:
            return kept
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
        """Proposes a push as a difference, and whole if that does not fit.

        Raises:
            errors.ProposalLostError: It may have been accepted.
            errors.UnavailableError: It was certainly not accepted.
        """
        deadline = self._clock.monotonic() + CALL_TIMEOUT_S
        if change is not None:
            try:
                return await self._propose_until(
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
        return await self._propose_until(command, deadline)

    async def _propose_until(
        self, command: configuration.Push, deadline: float
    ) -> configuration.PushAccepted:
        """Proposes until an answer or the deadline; a resend is harmless."""
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
            if self._clock.monotonic() + RETRY_S >= deadline:
                raise last
            await trio.sleep(RETRY_S)


def _difference(
    before: configuration_versions.AcceptedConfiguration | None,
    command: configuration.PushConfiguration,
) -> difference.Difference | None:
    """Returns what makes a pushed body of the one before.

    Returns:
        None if the whole body is to be proposed: the version before is not
        at hand, the difference is no smaller, or the body is too large and
        is to be refused for that.
    """
    too_large = len(command.body) > configuration.MAX_BODY_BYTES
    if before is None or too_large:
        return None
    found = difference.difference(before.body, command.body)
    if found is None or found.size >= len(command.body):
        return None
    return found


def _number(text: str) -> int:
    try:
        return int(text)
    except ValueError as error:
        raise errors.InvalidInputError(
            f"version: got {text[:20]!r}, expected a whole number"
        ) from error


def _whole(
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
