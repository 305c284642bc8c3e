"""Submission, lookup, listing and cancellation of jobs."""

import typing
from collections import abc

import trio

from laburnumsill.config import current as current_module
from laburnumsill.config import models
from laburnumsill.core import clock as clocks
from laburnumsill.core import codec
from laburnumsill.core import errors
from laburnumsill.core import hashing
from laburnumsill.core import ids
from laburnumsill.core import logs
from laburnumsill.core import members as members_module
from laburnumsill.core import metrics as metrics_module
from laburnumsill.core import replication
from laburnumsill.core import topology
from laburnumsill.jobs import admission
from laburnumsill.state import jobs_messages

SUFFIX_LENGTH = 20
"""Number of hex digits in a job id after its domain."""

MAX_USAGE_AGE_S = 0.5
"""Maximum staleness of the cached usage of domains, in seconds."""

DOMAIN_QUERY_TIMEOUT_S = 1.0
"""Timeout of a query to all domains, in seconds.

Domains that have not answered by then are left out.
"""

DEFAULT_TIMEOUT_S = 5.0
"""Timeout of calls without a deadline argument, in seconds."""

CANCEL_WAIT_S = 3.0
"""Maximum time a cancellation waits for tasks to stop, in seconds."""

RETRY_PAUSE_S = 0.05

JobSpec = jobs_messages.JobSpec
JobView = jobs_messages.JobView


class JobService:
    """Accepts jobs on any VM and finds them by their id.

    The idempotency key of a submission determines a directory domain, whose
    group records the home domain chosen for the job. The job id is derived
    from home and key, so a caller that retries a submission gets the same
    job.
    """

    def __init__(
        self,
        local_vm: topology.Vm,
        groups: replication.Groups,
        members: members_module.MemberView,
        current: current_module.Current,
        clock: clocks.Clock,
        metrics: metrics_module.Metrics,
    ) -> None:
        self._local_vm = local_vm
        self._groups = groups
        self._members = members
        self._current = current
        self._clock = clock
        self._metrics = metrics
        self._domain_usage: dict[str, jobs_messages.DomainUse | None] = {}
        self._usage_valid_until = 0.0

    def deadline(self, seconds: float) -> float:
        """Returns the monotonic deadline for a timeout in seconds."""
        return self._clock.monotonic() + seconds

    async def submit(self, spec: JobSpec, key: str, deadline: float) -> JobView:
        """Accepts a job; the same key always returns the same job.

        Args:
            spec: The job.
            key: Idempotency key of the caller, unique within its account.
            deadline: Monotonic time.

        Raises:
            errors.KeyReusedError: The key was used for a different job.
            errors.JobImpossibleError: The job can never run.
            errors.UnavailableError: The job was not accepted; retry.
            errors.OutcomeUnknownError: The job may have been accepted; a
                retry with the same key resolves this.
        """
        configuration = self._configuration()
        admission.account_of(configuration, spec)
        scoped_key = f"{spec.account}/{key}"
        digest = hashing.digest(codec.encode(spec))
        home = await self._recorded_home(
            configuration, spec, scoped_key, digest, deadline
        )
        suffix = hashing.digest(scoped_key.encode())[:SUFFIX_LENGTH]
        account = configuration.accounts[spec.account]
        view: JobView = await self._propose(
            home,
            jobs_messages.SubmitJob(
                ids.job_id(home, suffix),
                digest,
                spec,
                account.max_queued_jobs,
                self._clock.wall(),
            ),
            deadline,
        )
        self._metrics.count("jobs_submitted_total", account=spec.account)
        return view

    async def get(self, job_id: str) -> JobView:
        """Returns the current state of a job from its home domain.

        Raises:
            errors.NotFoundError: There is no such job.
            errors.UnavailableError: Its home domain did not answer.
        """
        home = self._home_of(job_id)
        view: JobView = await self._groups.query(
            ids.domain_group(home),
            jobs_messages.GetJob(job_id),
            self.deadline(DEFAULT_TIMEOUT_S),
        )
        return view

    async def list_jobs(
        self,
        account: str | None = None,
        state: jobs_messages.JobState | None = None,
        limit: int = 100,
    ) -> jobs_messages.Listing:
        """Returns the newest jobs of all domains that answer.

        Args:
            account: Account to filter by, or None for all.
            state: State to filter by, or None for all.
            limit: Maximum number of jobs to return.
        """
        query = jobs_messages.ListJobs(account, state, limit)
        found: list[JobView] = []
        silent: list[str] = []
        for domain, listing in (await self._query_domains(query)).items():
            if listing is None:
                silent.append(domain)
            else:
                found += listing.jobs
        found.sort(key=lambda view: view.submitted_at, reverse=True)
        return jobs_messages.Listing(
            tuple(found[:limit]), tuple(sorted(silent))
        )

    async def cancel(self, job_id: str) -> JobView:
        """Cancels a job and waits up to `CANCEL_WAIT_S` for its tasks to stop.

        CANCELLED in the result means that no task of the job runs or will
        ever run. CANCELLING means that the cancellation is committed and the
        tasks are still being stopped.

        Raises:
            errors.NotFoundError: There is no such job.
            errors.UnavailableError: The job was not cancelled.
            errors.OutcomeUnknownError: The job may have been cancelled.
        """
        view: JobView = await self._propose(
            self._home_of(job_id),
            jobs_messages.CancelJob(job_id, self._clock.wall()),
            self.deadline(DEFAULT_TIMEOUT_S),
        )
        self._metrics.count("jobs_cancelled_total", account=view.account)
        deadline = self.deadline(CANCEL_WAIT_S)
        while (
            view.state == jobs_messages.JobState.CANCELLING
            and self._clock.monotonic() < deadline
        ):
            await trio.sleep(RETRY_PAUSE_S)
            view = await self._refreshed(view)
        logs.event("job-cancelled", job=job_id, state=view.state)
        return view

    async def _refreshed(self, view: JobView) -> JobView:
        """Returns the current view of a job, or `view` if the query fails."""
        try:
            return await self.get(view.job_id)
        except (errors.UnavailableError, errors.OutcomeUnknownError):
            return view

    def _configuration(self) -> models.Configuration:
        configuration = self._current.get()
        if configuration is None:
            raise errors.UnavailableError("no configuration is in force yet")
        return configuration

    def _home_of(self, job_id: str) -> str:
        home = ids.job_home(job_id)
        if home not in self._configuration().domains:
            raise errors.NotFoundError(f"no job {job_id!r}", job=job_id)
        return home

    async def _recorded_home(
        self,
        configuration: models.Configuration,
        spec: JobSpec,
        key: str,
        digest: str,
        deadline: float,
    ) -> str:
        """Returns the home recorded for a key, after recording one if needed.

        A job that was accepted earlier stays accepted, even if admission
        would refuse it now.
        """
        directory = hashing.rendezvous(key, configuration.domains)
        try:
            chosen = await self._choose_home(configuration, spec)
        except errors.LaburnumsillError as refusal:
            known: jobs_messages.Home = await self._groups.query(
                ids.domain_group(directory),
                jobs_messages.GetHome(key, digest),
                deadline,
            )
            if known.domain:
                return known.domain
            self._record_refusal(spec, refusal)
            raise refusal
        home: jobs_messages.Home = await self._propose(
            directory,
            jobs_messages.RecordHome(key, digest, chosen, self._clock.wall()),
            deadline,
        )
        logs.decision(
            "job-home",
            account=spec.account,
            home=home.domain,
            of=len(configuration.domains),
            directory=directory,
            why="most-left" if home.domain == chosen else "key-known",
        )
        return home.domain

    def _record_refusal(
        self, spec: JobSpec, refusal: errors.LaburnumsillError
    ) -> None:
        logs.decision(
            "job-refused",
            account=spec.account,
            tasks=spec.tasks,
            accelerators=spec.accelerators,
            why=refusal.slug,
            detail=refusal.detail,
        )
        self._metrics.count("jobs_refused_total", why=refusal.slug)

    async def _choose_home(
        self, configuration: models.Configuration, spec: JobSpec
    ) -> str:
        domains = admission.possible_domains(configuration, self._members, spec)
        if len(domains) == 1:
            return domains[0]
        await self._refresh_usage()
        home = admission.choose_home(
            [
                admission.CandidateDomain(d, self._domain_usage.get(d))
                for d in domains
            ],
            spec,
        )
        self._add_to_usage(home, spec)
        return home

    async def _refresh_usage(self) -> None:
        """Queries the usage of all domains unless the cached one is valid."""
        if self._clock.monotonic() < self._usage_valid_until:
            return
        self._usage_valid_until = self.deadline(MAX_USAGE_AGE_S)
        self._domain_usage = await self._query_domains(jobs_messages.GetUse())

    def _add_to_usage(self, home: str, spec: JobSpec) -> None:
        """Adds a job to the cached usage, so that bursts are spread."""
        use = self._domain_usage.get(home)
        if use is None:
            return
        accounts = dict(use.accounts)
        own = accounts.get(spec.account, jobs_messages.AccountUse())
        if spec.guaranteed:
            accounts[spec.account] = jobs_messages.AccountUse(
                guaranteed=own.guaranteed + spec.total_accelerators,
                queued=own.queued,
            )
        self._domain_usage[home] = jobs_messages.DomainUse(
            accelerators=use.accelerators,
            free_accelerators=use.free_accelerators,
            free_cores=use.free_cores,
            queued_accelerators=use.queued_accelerators
            + spec.total_accelerators,
            queued_cores=use.queued_cores + spec.tasks * spec.cores,
            shortfall=use.shortfall,
            accounts=accounts,
        )

    async def _query_domains(self, query: object) -> dict[str, typing.Any]:
        """Returns the answer of each domain, None for those without one."""
        answers: dict[str, typing.Any] = {}
        deadline = self.deadline(DOMAIN_QUERY_TIMEOUT_S)

        async def query_domain(domain: str) -> None:
            answers[domain] = None
            try:
                answers[domain] = await self._groups.query(
                    ids.domain_group(domain), query, deadline
                )
            except (errors.UnavailableError, errors.OutcomeUnknownError):
                logs.event("domain-silent", domain=domain)

        async with trio.open_nursery() as nursery:
            for domain in self._configuration().domains:
                nursery.start_soon(query_domain, domain)
        return answers

    async def _propose(
        self, domain: str, command: object, deadline: float
    ) -> typing.Any:
        """Commits an idempotent command, with retries until the deadline."""
        return await retried(
            lambda: self._groups.propose(
                ids.domain_group(domain), command, deadline
            ),
            self._clock,
            deadline,
        )


async def retried(
    call: abc.Callable[[], abc.Awaitable[typing.Any]],
    clock: clocks.Clock,
    deadline: float,
) -> typing.Any:
    """Retries an idempotent call that failed, until the deadline.

    Raises:
        errors.OutcomeUnknownError: No attempt succeeded, and the outcome of
            at least one is unknown.
        errors.UnavailableError: No attempt was executed.
    """
    unknown: errors.OutcomeUnknownError | None = None
    while True:
        try:
            return await call()
        except errors.OutcomeUnknownError as error:
            unknown = error
            failure: errors.LaburnumsillError = error
        except errors.UnavailableError as error:
            failure = unknown or error
        if clock.monotonic() + RETRY_PAUSE_S >= deadline:
            raise failure
        await trio.sleep(RETRY_PAUSE_S)
