"""What callers can do with jobs: submit, read, list and cancel."""

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
"""Hex digits of a job id after its domain."""

USE_AGE_S = 0.5
"""How old, in seconds, what is known of a domain's use may be."""

USE_TIMEOUT_S = 1.0
"""Time that a domain has to tell its use before it is left out."""

CALL_TIMEOUT_S = 5.0
"""Time for a call without a deadline of its own, in seconds."""

CANCEL_WAIT_S = 3.0
"""How long a cancellation waits for the job's tasks to stop, in seconds."""

RETRY_PAUSE_S = 0.05

JobSpec = jobs_messages.JobSpec
JobView = jobs_messages.JobView


class JobService:
    """Takes jobs in on any VM and finds them again by their id.

    A submission's key leads to a directory domain, whose group records the
    home that was chosen; the job's id follows from home and key. A caller
    whose answer was lost sends the same again and gets the same job.
    """

    def __init__(
        self,
        me: topology.Vm,
        groups: replication.Groups,
        members: members_module.MemberView,
        current: current_module.Current,
        clock: clocks.Clock,
        metrics: metrics_module.Metrics,
    ) -> None:
        self._me = me
        self._groups = groups
        self._members = members
        self._current = current
        self._clock = clock
        self._metrics = metrics
        self._uses: dict[str, jobs_messages.DomainUse | None] = {}
        self._uses_until = 0.0

    def deadline(self, seconds: float) -> float:
        """Returns the monotonic point so many seconds from now."""
        return self._clock.monotonic() + seconds

    async def submit(self, spec: JobSpec, key: str, deadline: float) -> JobView:
        """Takes a job in; the same key again returns the same job.

        Args:
            spec: The job.
            key: Chosen by the caller, unique within its account.
            deadline: Monotonic point.

        Raises:
            errors.KeyReusedError: The key came with another job before.
            errors.JobImpossibleError: The job can never run.
            errors.UnavailableError: Nothing was taken in; try again.
            errors.OutcomeUnknownError: It may have been taken in; the same
                key again tells.
        """
        configuration = self._configuration()
        admission.account_of(configuration, spec)
        scoped = f"{spec.account}/{key}"
        digest = hashing.digest(codec.encode(spec))
        home = await self._home(configuration, spec, scoped, digest, deadline)
        suffix = hashing.digest(scoped.encode())[:SUFFIX_LENGTH]
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
        """Returns a job as its home domain knows it now.

        Raises:
            errors.NotFoundError: There is no such job.
            errors.UnavailableError: Its home domain did not answer.
        """
        home = self._home_of(job_id)
        view: JobView = await self._groups.query(
            ids.domain_group(home),
            jobs_messages.GetJob(job_id),
            self.deadline(CALL_TIMEOUT_S),
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
            account: Only this account's, or None for all.
            state: Only those in this state, or None for all.
            limit: The most to return.
        """
        query = jobs_messages.ListJobs(account, state, limit)
        found: list[JobView] = []
        silent: list[str] = []
        for domain, listing in (await self._ask_all(query)).items():
            if listing is None:
                silent.append(domain)
            else:
                found += listing.jobs
        found.sort(key=lambda view: view.submitted_at, reverse=True)
        return jobs_messages.Listing(
            tuple(found[:limit]), tuple(sorted(silent))
        )

    async def cancel(self, job_id: str) -> JobView:
        """Cancels a job and waits a while for its tasks to stop.

        CANCELLED in the answer says that none of it runs or ever will.
        CANCELLING says that the cancellation is committed and that its tasks
        are still being stopped.

        Raises:
            errors.NotFoundError: There is no such job.
            errors.UnavailableError: Nothing was changed.
            errors.OutcomeUnknownError: It may have been cancelled.
        """
        view: JobView = await self._propose(
            self._home_of(job_id),
            jobs_messages.CancelJob(job_id, self._clock.wall()),
            self.deadline(CALL_TIMEOUT_S),
        )
        self._metrics.count("jobs_cancelled_total", account=view.account)
        deadline = self.deadline(CANCEL_WAIT_S)
        while (
            view.state == jobs_messages.JobState.CANCELLING
            and self._clock.monotonic() < deadline
        ):
            await trio.sleep(RETRY_PAUSE_S)
            view = await self._settled(view)
        logs.event("job-cancelled", job=job_id, state=view.state)
        return view

    async def _settled(self, view: JobView) -> JobView:
        """Returns a newer view of a job, or the same if there is none."""
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

    async def _home(
        self,
        configuration: models.Configuration,
        spec: JobSpec,
        key: str,
        digest: str,
        deadline: float,
    ) -> str:
        """Returns the home recorded for a key, choosing one if there is none.

        What was taken in before stays taken in, even if it would be refused
        now.
        """
        directory = hashing.rendezvous(key, configuration.domains)
        try:
            chosen = await self._choose(configuration, spec)
        except errors.LaburnumsillError as refusal:
            known: jobs_messages.Home = await self._groups.query(
                ids.domain_group(directory),
                jobs_messages.GetHome(key, digest),
                deadline,
            )
            if known.domain:
                return known.domain
            self._refused(spec, refusal)
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

    def _refused(
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

    async def _choose(
        self, configuration: models.Configuration, spec: JobSpec
    ) -> str:
        domains = admission.possible_domains(configuration, self._members, spec)
        if len(domains) == 1:
            return domains[0]
        await self._refresh_uses()
        home = admission.choose_home(
            [admission.Candidate(d, self._uses.get(d)) for d in domains], spec
        )
        self._count_in(home, spec)
        return home

    async def _refresh_uses(self) -> None:
        """Asks all domains for their use, unless that is known."""
        if self._clock.monotonic() < self._uses_until:
            return
        self._uses_until = self.deadline(USE_AGE_S)
        self._uses = await self._ask_all(jobs_messages.GetUse())

    def _count_in(self, home: str, spec: JobSpec) -> None:
        """Adds a job to the known use, so that a burst is spread."""
        use = self._uses.get(home)
        if use is None:
            return
        accounts = dict(use.accounts)
        own = accounts.get(spec.account, jobs_messages.AccountUse())
        if spec.guaranteed:
            accounts[spec.account] = jobs_messages.AccountUse(
                guaranteed=own.guaranteed + spec.total_accelerators,
                queued=own.queued,
            )
        self._uses[home] = jobs_messages.DomainUse(
            accelerators=use.accelerators,
            free_accelerators=use.free_accelerators,
            free_cores=use.free_cores,
            queued_accelerators=use.queued_accelerators
            + spec.total_accelerators,
            queued_cores=use.queued_cores + spec.tasks * spec.cores,
            shortfall=use.shortfall,
            accounts=accounts,
        )

    async def _ask_all(self, query: object) -> dict[str, typing.Any]:
        """Returns each domain's answer, None for one that gives none."""
        answers: dict[str, typing.Any] = {}
        deadline = self.deadline(USE_TIMEOUT_S)

        async def ask(domain: str) -> None:
            answers[domain] = None
            try:
                answers[domain] = await self._groups.query(
                    ids.domain_group(domain), query, deadline
                )
            except (errors.UnavailableError, errors.OutcomeUnknownError):
                logs.event("domain-silent", domain=domain)

        async with trio.open_nursery() as nursery:
            for domain in self._configuration().domains:
                nursery.start_soon(ask, domain)
        return answers

    async def _propose(
        self, domain: str, command: object, deadline: float
    ) -> typing.Any:
        """Commits an idempotent command, again while its fate is unknown."""
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
    """Repeats a call whose outcome was lost, up to the deadline.

    Raises:
        errors.OutcomeUnknownError: The last outcome was lost too.
        errors.UnavailableError: The first attempt was certainly not carried
            out and no time is left.
    """
    lost: errors.OutcomeUnknownError | None = None
    while True:
        try:
            return await call()
        except errors.OutcomeUnknownError as error:
            lost = error
        except errors.UnavailableError:
            if clock.monotonic() + RETRY_PAUSE_S >= deadline:
                if lost is not None:
                    raise lost from None
                raise
        if clock.monotonic() + RETRY_PAUSE_S >= deadline:
            raise lost or errors.OutcomeUnknownError("no time left")
        await trio.sleep(RETRY_PAUSE_S)
