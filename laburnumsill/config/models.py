"""Validated models of the configuration.

Operators write it as TOML, see `docs/OPERATIONS.md`. Names of durations end in
their unit; the code that uses a duration computes the deadline from it.
"""

import typing

import pydantic
import pydantic_core

Milliseconds = typing.Annotated[int, pydantic.Field(gt=0, le=86_400_000)]
Seconds = typing.Annotated[float, pydantic.Field(gt=0, le=31_536_000)]
Share = typing.Annotated[float, pydantic.Field(ge=0, le=1)]
Count = typing.Annotated[int, pydantic.Field(ge=0, le=1_000_000)]
Name = typing.Annotated[
    str, pydantic.Field(pattern=r"^[a-z0-9][a-z0-9-]{0,62}$")
]


class Model(pydantic.BaseModel):
    """Base class of the models: immutable, refuses unknown keys."""

    model_config = pydantic.ConfigDict(extra="forbid", frozen=True)


class RequestClass(Model):
    """A class of requests.

    Attributes:
        urgency: 0 is the most urgent; a request never waits behind a less
            urgent one.
        reserved_share: Share of a server's slots reserved for this class and
            more urgent ones.
        timeout_ms: Time from arrival to the deadline, unless the caller sets
            one.
        max_wait_ms: Time in the queue after which a request is refused.
        max_queued: Length limit of the queue on one VM.
        repeatable: Whether a request is idempotent.
        durable: Whether a request is stored until it has succeeded.
    """

    urgency: int = pydantic.Field(ge=0, le=9)
    reserved_share: Share = 0.0
    timeout_ms: Milliseconds = 10_000
    max_wait_ms: Milliseconds = 1_000
    max_queued: Count = 1_000
    repeatable: bool = True
    durable: bool = False


class Service(Model):
    """A service that backend servers provide.

    Attributes:
        slots: Number of requests that one backend server runs concurrently.
        connections: Number of connections that one backend server accepts.
        classes: Names of its request classes; the first is the default.
        max_body_bytes: Size limit of a request body.
    """

    slots: int = pydantic.Field(default=8, ge=1, le=1024)
    connections: int = pydantic.Field(default=64, ge=1, le=65_536)
    classes: list[Name] = pydantic.Field(min_length=1)
    max_body_bytes: int = pydantic.Field(default=1_048_576, ge=0)


class Shape(Model):
    """Guaranteed capacity as numbers of cells of each size.

    Attributes:
        racks: Number of whole racks.
        workers: Number of whole workers.
        pairs: Number of pairs of accelerators on one worker.
        accelerators: Number of single accelerators.
    """

    racks: Count = 0
    workers: Count = 0
    pairs: Count = 0
    accelerators: Count = 0


class Account(Model):
    """A client account.

    Attributes:
        weight: Weight in fair sharing, relative to the other accounts.
        guarantee: Capacity that it can always reclaim, by failure domain.
        max_in_flight: Limit of its requests in flight on one VM.
        max_queued_jobs: Limit of its queued jobs in one failure domain.
        may_borrow: Whether its jobs may use capacity beyond its guarantee.
    """

    weight: float = pydantic.Field(default=1.0, gt=0)
    guarantee: dict[Name, Shape] = {}
    max_in_flight: Count = 1_000
    max_queued_jobs: Count = 10_000
    may_borrow: bool = True


class RequestPolicy(Model):
    """Policy for the routing of requests.

    Attributes:
        chooser: Name of the policy that chooses a backend server.
        limiter: Name of the policy that limits requests in flight at a
            server.
        target_latency_ms: Upper bound that an adaptive limiter targets for
            the latency.
        max_attempts: Limit of attempts for one repeatable request.
        retry_budget: Limit of retries per request, on average.
        claim_retention_s: Time for which an ended claim is stored.
        max_stored_answer_bytes: Size limit of an answer that is stored for
            resends.
        durable_timeout_s: Time after which a durable request fails.
    """

    chooser: Name = "two-choices"
    limiter: Name = "borrowing"
    target_latency_ms: Milliseconds = 500
    max_attempts: int = pydantic.Field(default=3, ge=1, le=10)
    retry_budget: Share = 0.1
    claim_retention_s: Seconds = 86_400
    max_stored_answer_bytes: int = pydantic.Field(default=65_536, ge=0)
    durable_timeout_s: Seconds = 86_400


class JobPolicy(Model):
    """Policy for the placement of jobs.

    Attributes:
        completion_weight: Weight of job completion time in a placement.
        fragmentation_weight: Weight of fragmentation in a placement.
        gang_wait_bound_s: Waiting time after which slots of a rack are
            reserved for a gang.
        checkpoint_timeout_s: Time for a borrower to checkpoint before it is
            stopped.
        lease_s: Duration of a lease; a task stops by itself when its lease
            expires.
        max_tries: Number of failed attempts after which a job fails.
        bad_worker_jobs: Number of distinct jobs that fail on a worker before
            it is quarantined.
    """

    completion_weight: Share = 0.5
    fragmentation_weight: Share = 0.5
    gang_wait_bound_s: Seconds = 600
    checkpoint_timeout_s: Seconds = 30
    lease_s: Seconds = 10
    max_tries: int = pydantic.Field(default=3, ge=1, le=100)
    bad_worker_jobs: int = pydantic.Field(default=3, ge=1, le=100)


class MemberPolicy(Model):
    """Timeouts of the failure detection for announced members.

    Attributes:
        server_ttl_ms: Time since the last contact after which a backend
            server is removed.
        worker_ttl_ms: Time since the last contact after which a worker is
            removed.
    """

    server_ttl_ms: Milliseconds = 2_000
    worker_ttl_ms: Milliseconds = 5_000


def _unknown_name(key: str, kind: str, name: str) -> ValueError:
    """Returns a validation error with key and value for `toml_files`."""
    return pydantic_core.PydanticCustomError(
        "unknown_name",
        "{key}: no {kind} '{value}'",
        {"key": key, "kind": kind, "value": name},
    )


class Configuration(Model):
    """The configuration of one site.

    Attributes:
        site: Name of the site.
        domains: Failure domains that can be the home of requests and jobs.
        services: Services by name.
        classes: Request classes by name.
        accounts: Client accounts by name.
        requests: Routing policy.
        jobs: Placement policy.
        members: Membership policy.
    """

    site: Name
    domains: list[Name] = pydantic.Field(min_length=1)
    services: dict[Name, Service] = {}
    classes: dict[Name, RequestClass] = {}
    accounts: dict[Name, Account] = {}
    requests: RequestPolicy = RequestPolicy()
    jobs: JobPolicy = JobPolicy()
    members: MemberPolicy = MemberPolicy()

    @pydantic.model_validator(mode="after")
    def _check_references(self) -> "Configuration":
        """Checks that all referenced classes and domains are defined."""
        for name, service in self.services.items():
            for cls in service.classes:
                if cls not in self.classes:
                    raise _unknown_name(
                        f"services.{name}.classes", "class", cls
                    )
        for name, account in self.accounts.items():
            for domain in account.guarantee:
                if domain not in self.domains:
                    raise _unknown_name(
                        f"accounts.{name}.guarantee", "domain", domain
                    )
        return self
