"""The configuration in force, as validated models.

Operators write these as TOML, see `docs/OPERATIONS.md`. Lengths of time that
operators set carry their unit in the name; the code turns them into
deadlines where they are used.
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
    """Base of all models: immutable, and unknown keys are refused."""

    model_config = pydantic.ConfigDict(extra="forbid", frozen=True)


class RequestClass(Model):
    """A class of requests.

    Attributes:
        urgency: 0 is the most urgent; a lower class never holds up a higher.
        reserved_share: Share of a server's slots kept for this class and
            more urgent ones.
        timeout_ms: Time from arrival to the deadline unless the caller says.
        max_wait_ms: Longest wait in the queue before it is refused.
        max_queued: Longest queue on one VM.
        repeatable: Whether running it twice is harmless.
        durable: Whether it is kept until it has succeeded.
    """

    urgency: int = pydantic.Field(ge=0, le=9)
    reserved_share: Share = 0.0
    timeout_ms: Milliseconds = 10_000
    max_wait_ms: Milliseconds = 1_000
    max_queued: Count = 1_000
    repeatable: bool = True
    durable: bool = False


class Service(Model):
    """A service that backend servers announce themselves for.

    Attributes:
        slots: Requests that one backend server runs at a time.
        connections: Connections that one backend server takes.
        classes: The classes of its requests; the first is the default.
        max_body_bytes: Largest request body.
    """

    slots: int = pydantic.Field(default=8, ge=1, le=1024)
    connections: int = pydantic.Field(default=64, ge=1, le=65_536)
    classes: list[Name] = pydantic.Field(min_length=1)
    max_body_bytes: int = pydantic.Field(default=1_048_576, ge=0)


class Shape(Model):
    """Guaranteed capacity as cells, from whole racks down to accelerators.

    Attributes:
        racks: Whole racks.
        workers: Whole workers.
        pairs: Pairs of accelerators on one worker.
        accelerators: Single accelerators.
    """

    racks: Count = 0
    workers: Count = 0
    pairs: Count = 0
    accelerators: Count = 0


class Account(Model):
    """A client account.

    Attributes:
        weight: Its part of what is shared, relative to the others.
        guarantee: Capacity that it can always reclaim, for each domain.
        max_in_flight: Its requests in flight on one VM.
        max_queued_jobs: Its jobs that wait, in one domain.
        may_borrow: Whether its jobs may use capacity beyond its guarantee.
    """

    weight: float = pydantic.Field(default=1.0, gt=0)
    guarantee: dict[Name, Shape] = {}
    max_in_flight: Count = 1_000
    max_queued_jobs: Count = 10_000
    may_borrow: bool = True


class RequestPolicy(Model):
    """How requests are routed.

    Attributes:
        chooser: Name of the policy that chooses a backend server.
        limiter: Name of the policy that limits work in flight at a server.
        target_latency_ms: Latency that an adaptive limiter aims below.
        max_attempts: Attempts of one repeatable request.
        retry_budget: Retries allowed for each request, on average.
        claim_retention_s: How long an ended claim is remembered.
        max_stored_answer_bytes: Largest answer kept for resends.
        durable_timeout_s: Time after which a durable request is given up.
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
    """How jobs are placed.

    Attributes:
        completion_weight: Weight of job completion time in a placement.
        fragmentation_weight: Weight of fragmentation in a placement.
        gang_wait_bound_s: Wait after which a rack is drained for a gang.
        checkpoint_timeout_s: Time that a borrower has to checkpoint.
        lease_s: Length of a lease; a task stops by itself when it ends.
        max_tries: Tries of one job before it ends as failed.
        bad_worker_jobs: Distinct jobs that fail on a worker before it is
            set aside.
    """

    completion_weight: Share = 0.5
    fragmentation_weight: Share = 0.5
    gang_wait_bound_s: Seconds = 600
    checkpoint_timeout_s: Seconds = 30
    lease_s: Seconds = 10
    max_tries: int = pydantic.Field(default=3, ge=1, le=100)
    bad_worker_jobs: int = pydantic.Field(default=3, ge=1, le=100)


class MemberPolicy(Model):
    """How announcements are kept.

    Attributes:
        server_ttl_ms: Silence after which a backend server is gone.
        worker_ttl_ms: Silence after which a worker is gone.
    """

    server_ttl_ms: Milliseconds = 2_000
    worker_ttl_ms: Milliseconds = 5_000


def _unknown(key: str, kind: str, name: str) -> ValueError:
    """Returns an error that carries its key and value for `toml_files`."""
    return pydantic_core.PydanticCustomError(
        "unknown_name",
        "{key}: no {kind} '{value}'",
        {"key": key, "kind": kind, "value": name},
    )


class Configuration(Model):
    """The whole configuration of one site.

    Attributes:
        site: The site's name.
        domains: Failure domains that requests and jobs may have as home.
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
    def _names_are_known(self) -> "Configuration":
        for name, service in self.services.items():
            for cls in service.classes:
                if cls not in self.classes:
                    raise _unknown(f"services.{name}.classes", "class", cls)
        for name, account in self.accounts.items():
            for domain in account.guarantee:
                if domain not in self.domains:
                    raise _unknown(
                        f"accounts.{name}.guarantee", "domain", domain
                    )
        return self
