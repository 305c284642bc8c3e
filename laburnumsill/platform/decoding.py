"""Validates the platform's messages and converts them to internal types."""

import typing

import msgspec

from laburnumsill.batch import model
from laburnumsill.config import site
from laburnumsill.core import errors
from laburnumsill.platform import wire

JOB_ID_DIGITS = 16
_HEX = frozenset("0123456789abcdefABCDEF")

MAX_SPEC_BYTES = 4_000
"""Size limit of a job's payload, defined by the platform protocol."""

MAX_TASKS = 20_000
"""Limit of the tasks of a job over all its occurrences, which bounds the load
of one caller on the ledger. The largest jobs of the users' sites have a few
hundred tasks."""

T = typing.TypeVar("T")


class MalformedBodyError(errors.InvalidInputError):
    """A body that cannot be parsed or does not match the expected schema."""

    slug = "malformed-body"
    title = "Malformed body"


def parse(raw: bytes, kind: type[T]) -> T:
    """Parses a JSON body as a message of the given type.

    Raises:
        MalformedBodyError: The body is not a valid message of this type.
    """
    try:
        return msgspec.json.decode(raw, type=kind)
    except (msgspec.MsgspecError, UnicodeError) as error:
        raise MalformedBodyError(str(error)) from error
    except RecursionError as error:
        raise MalformedBodyError("nested too deeply") from error


def is_job_id(text: str) -> bool:
    """Returns whether `text` has the form of a job id chosen by a caller.

    Examples:
        >>> is_job_id("5c0e7a21d94b36f8"), is_job_id("5c0e")
        (True, False)
    """
    return len(text) == JOB_ID_DIGITS and _HEX.issuperset(text)


def job(
    job_id: str, queue: site.Queue, account: str, body: wire.JobBody
) -> model.Job:
    """Returns the job that a submission describes.

    Raises:
        MalformedBodyError: The job is invalid.
    """
    steps = tuple(_step(number, one) for number, one in enumerate(body.steps))
    if not steps:
        raise MalformedBodyError("a job without steps")
    if len(body.spec.encode()) > MAX_SPEC_BYTES:
        raise MalformedBodyError(f"a spec of {len(body.spec)} characters")
    tasks = sum(step.tasks for step in steps) * max(1, body.repeat_count)
    if tasks > MAX_TASKS:
        raise MalformedBodyError(f"{tasks} tasks, {MAX_TASKS} at most")
    terms = model.QueueTerms(
        queue.pool,
        queue.priority,
        queue.max_attempts,
        queue.stretch,
        queue.target_ms,
    )
    return model.Job(
        job_id,
        queue.name,
        account,
        body.spec,
        steps,
        terms,
        body.repeat_count,
        body.start_at_ms,
        body.interval_ms,
    )


def _step(number: int, body: wire.StepBody) -> model.Step:
    if body.count < 1:
        raise MalformedBodyError(f"step {number} has {body.count} tasks")
    if any(not 0 <= other < number for other in body.depends_on):
        raise MalformedBodyError(
            f"step {number} depends on {body.depends_on!r}"
        )
    needs = model.Resources(body.cpu, body.mem_mb, body.gpu)
    return model.Step(
        body.count,
        needs,
        body.estimate_ms,
        body.depends_on,
        body.gang,
        body.same_rack,
        body.data_rack,
        body.required_label,
        body.max_per_server,
        body.speculative,
        body.saves_progress,
        body.long_running,
    )


def configuration(raw: bytes) -> site.SiteConfiguration:
    """Parses and validates a configuration.

    Raises:
        errors.InvalidConfigurationError: The configuration is invalid; the
            detail gives the reason.
    """
    try:
        body = parse(raw, wire.ConfigurationBody)
    except MalformedBodyError as error:
        raise errors.InvalidConfigurationError(error.detail) from error
    _check(body)
    return site.SiteConfiguration(
        body.version,
        tuple(_queue(route) for route in body.routes),
        tuple(_account(tenant) for tenant in body.tenants),
        tuple(
            site.Pool(one.name, one.enforces_capacity) for one in body.services
        ),
        site.Limits(body.limits.max_header_bytes, body.limits.max_body_bytes),
    )


def _check(body: wire.ConfigurationBody) -> None:
    services = {service.name for service in body.services}
    matches: set[tuple[str, str]] = set()
    for route in body.routes:
        if route.service not in services:
            raise errors.InvalidConfigurationError(
                f"route {route.name!r}: no service {route.service!r}"
            )
        if route.timeout_ms <= 0:
            raise errors.InvalidConfigurationError(
                f"route {route.name!r}: timeout_ms is {route.timeout_ms}"
            )
        match = (route.host, route.path_prefix)
        if match in matches:
            raise errors.InvalidConfigurationError(
                f"route {route.name!r}: another has {match!r}"
            )
        matches.add(match)
    _check_keys(body.tenants)


def _check_keys(tenants: tuple[wire.TenantBody, ...]) -> None:
    owners: dict[str, str] = {}
    for tenant in tenants:
        for key in tenant.api_keys:
            owner = owners.setdefault(key, tenant.name)
            if owner != tenant.name:
                raise errors.InvalidConfigurationError(
                    f"tenants {owner!r} and {tenant.name!r} share a key"
                )


def _queue(route: wire.RouteBody) -> site.Queue:
    return site.Queue(
        route.name,
        route.host,
        route.path_prefix,
        route.service,
        route.timeout_ms,
        route.target_duration_ms,
        route.priority,
        route.max_attempts,
        route.stretch,
        route.public,
        bool(route.advice),
    )


def _account(tenant: wire.TenantBody) -> site.Account:
    return site.Account(
        tenant.name, frozenset(tenant.api_keys), tenant.guaranteed.gpu
    )
