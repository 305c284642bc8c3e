"""The job ledger: the replicated state of a failure domain's jobs."""

import collections
import typing

from laburnumsill.core import codec
from laburnumsill.core import errors
from laburnumsill.core import members
from laburnumsill.core import replication
from laburnumsill.state import jobs_book
from laburnumsill.state import jobs_checks
from laburnumsill.state import jobs_health
from laburnumsill.state import jobs_messages
from laburnumsill.state import jobs_snapshot
from laburnumsill.state import placements
from laburnumsill.state import workers

JobState = jobs_messages.JobState
StopReason = jobs_messages.StopReason

JOB_RETENTION_S = 86_400.0
"""Retention of the record of a job that has ended, in seconds."""

KEY_RETENTION_S = 3 * 86_400.0
"""Retention of the home recorded for a submission key, in seconds."""


class StaleLeaderError(errors.ConflictError):
    """A leader with an outdated term tried to extend leases."""

    slug = "stale-leader"
    title = "Another leader has taken over"


class JobLedger(replication.Component):
    """State machine component for the jobs and workers of a failure domain.

    The scheduler on the domain's leader plans with `book` of its own replica.
    Every change is a command, and the ledger refuses commands that do not
    fit its state: a slot in use, a start after a cancellation, an outdated
    epoch, a binding that breaks another account's guarantee.

    Attributes:
        book: Jobs, workers and cells.
        keys: The recorded homes by submission key, for the keys whose
            directory is this domain.
        guarantees_version: Configuration version of the guarantees.
        lease_until: Wall time up to which leases may have been granted.
    """

    def __init__(self, domain: str) -> None:
        self._domain = domain
        self.book = jobs_book.JobBook()
        self.keys: dict[str, jobs_snapshot.KeyRecord] = {}
        self.guarantees_version = 0
        self.lease_until = 0.0
        self._lease_term = 0
        self._sequence = 0
        self._ended: collections.deque[tuple[float, str]] = collections.deque()

    @property
    def name(self) -> str:
        """The key of this component in a snapshot."""
        return "jobs"

    def commands(self) -> dict[type, replication.Handler]:
        """Returns the handlers by command type."""
        return {
            jobs_messages.RecordHome: self._record_home,
            jobs_messages.SubmitJob: self._submit,
            jobs_messages.CancelJob: self._cancel,
            jobs_messages.PutWorkers: self._put_workers,
            jobs_messages.SetGuarantees: self._set_guarantees,
            jobs_messages.PlaceJob: self._place,
            jobs_messages.HoldSlots: self._hold,
            jobs_messages.DropHold: self._drop_hold,
            jobs_messages.JobStarted: self._started,
            jobs_messages.StopPlacement: self._stop,
            jobs_messages.ReleasePlacement: self._release,
            jobs_messages.JobSucceeded: self._succeeded,
            jobs_messages.ExtendLeases: self._extend_leases,
            jobs_messages.ReturnWorker: self._return_worker,
        }

    def queries(self) -> dict[type, replication.Handler]:
        """Returns the handlers by query type."""
        return {
            jobs_messages.GetJob: self._get,
            jobs_messages.GetHome: self._get_home,
            jobs_messages.ListJobs: self._list,
            jobs_messages.GetUse: self._get_use,
        }

    def dump(self) -> bytes:
        """Returns the whole state, encoded."""
        pool = self.book.pool
        return codec.encode(
            jobs_snapshot.LedgerDump(
                jobs=list(self.book.jobs.values()),
                workers=[
                    jobs_snapshot.worker_state(w) for w in pool.workers.values()
                ],
                keys=self.keys,
                guarantees=self.book.cells.guarantees,
                guarantees_version=self.guarantees_version,
                bound=self.book.cells.bound,
                sequence=self._sequence,
                lease_term=self._lease_term,
                lease_until=self.lease_until,
            )
        )

    def load(self, raw: bytes) -> None:
        """Replaces the state by one that `dump` returned."""
        dump: jobs_snapshot.LedgerDump = codec.decode(raw)
        self.book = jobs_book.JobBook()
        self.keys = dict(dump.keys)
        self.guarantees_version = dump.guarantees_version
        self.lease_until = dump.lease_until
        self._lease_term = dump.lease_term
        self._sequence = dump.sequence
        with self.book.pool.deferred():
            for state in dump.workers:
                self.book.pool.put(jobs_snapshot.worker_record(state))
            self.book.jobs = {job.job_id: job for job in dump.jobs}
            self.book.cells.set_guarantees(dump.guarantees)
            self.book.cells.load(dump.bound)
            self.book.rebuild()
        self._ended = collections.deque(
            sorted(
                (job.ended_at, job.job_id)
                for job in dump.jobs
                if job.ended_at is not None
            )
        )

    def _record_home(
        self, command: jobs_messages.RecordHome
    ) -> jobs_messages.Home:
        self._prune_keys(command.now)
        home = self._get_home(
            jobs_messages.GetHome(command.key, command.digest)
        )
        if home.domain:
            return home
        self.keys[command.key] = jobs_snapshot.KeyRecord(
            command.domain, command.digest, command.now
        )
        return jobs_messages.Home(command.domain)

    def _submit(
        self, command: jobs_messages.SubmitJob
    ) -> jobs_messages.JobView:
        self._prune_jobs(command.now)
        known = self.book.jobs.get(command.job_id)
        if known is not None:
            if known.digest != command.digest:
                raise errors.KeyReusedError(
                    "the Idempotency-Key was used for another job"
                )
            return known.view(self._domain)
        account = command.spec.account
        queued = self.book.queue.length(account)
        if queued >= command.max_queued:
            raise errors.OverloadedError(
                f"{account!r} has {queued} jobs waiting in"
                f" {self._domain!r}, its limit is {command.max_queued}"
            )
        self._sequence += 1
        job = placements.Job(
            command.job_id,
            command.digest,
            command.spec,
            self._sequence,
            submitted_at=command.now,
            queued_at=command.now,
        )
        self.book.add(job)
        return job.view(self._domain)

    def _cancel(
        self, command: jobs_messages.CancelJob
    ) -> jobs_messages.JobView:
        job = self.book.get(command.job_id)
        if job.ended:
            return job.view(self._domain)
        if job.placement is None:
            self._end_job(job, JobState.CANCELLED, "cancelled", command.now)
        else:
            self._begin_stop(job, StopReason.CANCELLED)
            job.state = JobState.CANCELLING
        return job.view(self._domain)

    def _put_workers(self, command: jobs_messages.PutWorkers) -> None:
        for worker_id in command.gone:
            self._lose_worker(worker_id)
        for announced in command.present:
            self._put_worker(announced)

    def _put_worker(self, announced: members.Worker) -> None:
        """Adds or updates a worker.

        If the worker has restarted, the placements on its old incarnation are
        stopped, and the new one is added only if none is left. Otherwise a
        later command adds it.
        """
        known = self.book.pool.workers.get(announced.worker_id)
        if known is None:
            self.book.put_worker(workers.WorkerRecord(announced))
            return
        if not same_worker(known.announced, announced):
            health = known
            self._lose_worker(announced.worker_id)
            if announced.worker_id in self.book.pool.workers:
                return
            known = workers.WorkerRecord(
                announced,
                failed_jobs=health.failed_jobs,
                aside_until=health.aside_until,
                asides=health.asides,
            )
            self.book.put_worker(known)
            return
        if known.gone:
            return
        known.announced = announced
        self.book.worker_changed(announced.worker_id)

    def _lose_worker(self, worker_id: str) -> None:
        worker = self.book.pool.workers.get(worker_id)
        if worker is None or worker.gone:
            return
        for job_id in list(worker.tasks):
            job = self.book.jobs[job_id]
            if job.placement is not None and job.placement.stopping is None:
                self._begin_stop(job, StopReason.WORKER_LOST)
                job.reason = f"worker {worker_id} was lost"
        self.book.lose_worker(worker_id)

    def _set_guarantees(self, command: jobs_messages.SetGuarantees) -> None:
        if command.version <= self.guarantees_version:
            return
        self.guarantees_version = command.version
        self.book.cells.set_guarantees(command.cells)

    def _place(self, command: jobs_messages.PlaceJob) -> None:
        job = self.book.get(command.job_id)
        placement = job.placement
        if (
            placement is not None
            and placement.epoch == command.epoch
            and placement.slots == command.slots
        ):
            return
        if job.state != JobState.QUEUED or command.epoch != job.epoch + 1:
            raise jobs_checks.PlacementRefusedError(
                f"{job.job_id} is {job.state} at epoch {job.epoch}, it"
                f" cannot be placed at epoch {command.epoch}"
            )
        self.book.place(job, command.slots, command.bind, command.now)

    def _hold(self, command: jobs_messages.HoldSlots) -> None:
        job = self.book.get(command.job_id)
        if job.state != JobState.QUEUED or command.epoch != job.epoch:
            raise jobs_checks.PlacementRefusedError(
                f"{job.job_id} is {job.state} at epoch {job.epoch}"
            )
        victims = [self.book.jobs.get(name) for name in command.victims]
        for victim in victims:
            if victim is not None and victim.spec.guaranteed:
                raise jobs_checks.PlacementRefusedError(
                    f"{victim.job_id} is guaranteed and is not stopped"
                )
        if job.hold != command.slots:
            self.book.reserve(job, command.slots, command.bind)
        for victim in victims:
            if victim is not None and victim.placement is not None:
                self._begin_stop(
                    victim, command.reason, command.checkpoint_until
                )

    def _drop_hold(self, command: jobs_messages.DropHold) -> None:
        self.book.cancel_reservation(self.book.get(command.job_id))

    def _started(self, command: jobs_messages.JobStarted) -> None:
        job = self._job_at_epoch(command.job_id, command.epoch)
        if job.state == JobState.RUNNING:
            return
        if job.state != JobState.PREPARING:
            raise jobs_checks.PlacementRefusedError(
                f"{job.job_id} is {job.state}, it is not started"
            )
        self.book.run(job, command.now)

    def _stop(self, command: jobs_messages.StopPlacement) -> None:
        job = self._job_at_epoch(command.job_id, command.epoch)
        placement = typing.cast(placements.Placement, job.placement)
        if placement.stopping is not None:
            return
        self._begin_stop(job, command.reason, command.checkpoint_until)
        job.reason = command.detail or str(command.reason)
        if command.blamed:
            self._record_failure(job, command)

    def _record_failure(
        self, job: placements.Job, command: jobs_messages.StopPlacement
    ) -> None:
        limits = jobs_health.Limits(command.max_tries, command.bad_worker_jobs)
        worker = self.book.pool.workers.get(command.blamed)
        if command.reason in jobs_messages.FAULTS:
            pool = self.book.pool
            for name in jobs_health.blame_job(
                job, command.blamed, pool, limits
            ):
                self.book.worker_changed(name)
        is_worker_suspect = command.reason != StopReason.OVER_USE
        if worker is not None and is_worker_suspect:
            unanswered = command.reason == StopReason.UNREACHABLE
            quarantined = jobs_health.blame_worker(
                job, worker, limits, command.now, unanswered
            )
            if quarantined:
                self.book.worker_changed(command.blamed)
        if jobs_health.tries_exhausted(job, self.book.pool, limits):
            job.hopeless = True

    def _begin_stop(
        self,
        job: placements.Job,
        reason: StopReason,
        checkpoint_until: float = 0.0,
    ) -> None:
        self.book.stop(job, reason, self.lease_until, checkpoint_until)

    def _release(self, command: jobs_messages.ReleasePlacement) -> None:
        job = self.book.get(command.job_id)
        placement = job.placement
        if placement is None or placement.epoch != command.epoch:
            return
        if placement.stopping is None:
            raise jobs_checks.PlacementRefusedError(
                f"{job.job_id} is {job.state}, its slots are not freed"
            )
        if not command.confirmed and command.now < placement.safe_at:
            raise jobs_checks.PlacementRefusedError(
                f"leases of {job.job_id} may last to {placement.safe_at}"
            )
        self.book.release_slots(job)
        if job.state == JobState.CANCELLING:
            self._end_job(job, JobState.CANCELLED, "cancelled", command.now)
        elif job.hopeless:
            reason = f"failed {len(job.failed_on)} times: {job.reason}"
            self._end_job(job, JobState.FAILED, reason, command.now)
        else:
            if placement.stopping not in jobs_messages.FAULTS:
                job.interruptions += 1
            self.book.requeue(job, command.now)

    def _succeeded(self, command: jobs_messages.JobSucceeded) -> None:
        job = self.book.get(command.job_id)
        if job.state == JobState.SUCCEEDED:
            return
        job = self._job_at_epoch(command.job_id, command.epoch)
        placement = typing.cast(placements.Placement, job.placement)
        if not placement.running:
            raise jobs_checks.PlacementRefusedError(
                f"{job.job_id} is {job.state} and has not run"
            )
        for slot in placement.slots:
            jobs_health.record_success(self.book.pool.workers[slot.worker_id])
        limits = jobs_health.Limits(0, command.bad_worker_jobs)
        for name in jobs_health.reassign_failures(
            job, self.book.pool, limits, command.now
        ):
            self.book.worker_changed(name)
        self.book.release_slots(job)
        self._end_job(job, JobState.SUCCEEDED, "", command.now)

    def _extend_leases(
        self, command: jobs_messages.ExtendLeases
    ) -> jobs_messages.Leases:
        if command.term < self._lease_term:
            raise StaleLeaderError(
                f"term {command.term} is older than {self._lease_term}"
            )
        self._lease_term = command.term
        self.lease_until = max(self.lease_until, command.until)
        stopping = tuple(
            job.job_id
            for job in self.book.unsettled.values()
            if job.placement is not None and job.placement.stopping
        )
        return jobs_messages.Leases(self.lease_until, stopping)

    def _return_worker(self, command: jobs_messages.ReturnWorker) -> None:
        worker = self.book.pool.workers.get(command.worker_id)
        if worker is None or command.now < worker.aside_until:
            return
        jobs_health.begin_probation(worker)
        self.book.worker_changed(command.worker_id)

    def _job_at_epoch(self, job_id: str, epoch: int) -> placements.Job:
        """Returns a job after checking its fencing epoch.

        Raises:
            jobs_checks.PlacementRefusedError: The job has no placement, or
                one of another epoch.
        """
        job = self.book.get(job_id)
        if job.placement is None or job.placement.epoch != epoch:
            raise jobs_checks.PlacementRefusedError(
                f"{job_id} is {job.state} and has no placement of epoch {epoch}"
            )
        return job

    def _end_job(
        self, job: placements.Job, state: JobState, reason: str, now: float
    ) -> None:
        self.book.end(job, state, reason, now)
        self._ended.append((now, job.job_id))

    def _prune_jobs(self, now: float) -> None:
        while self._ended and self._ended[0][0] < now - JOB_RETENTION_S:
            self.book.remove(self._ended.popleft()[1])

    def _prune_keys(self, now: float) -> None:
        for key, record in list(self.keys.items())[:8]:
            if record.recorded_at >= now - KEY_RETENTION_S:
                return
            del self.keys[key]

    def _get_home(self, query: jobs_messages.GetHome) -> jobs_messages.Home:
        known = self.keys.get(query.key)
        if known is None:
            return jobs_messages.Home("")
        if known.digest != query.digest:
            raise errors.KeyReusedError(
                "the Idempotency-Key was used for another job"
            )
        return jobs_messages.Home(known.domain)

    def _get(self, query: jobs_messages.GetJob) -> jobs_messages.JobView:
        return self.book.get(query.job_id).view(self._domain)

    def _list(self, query: jobs_messages.ListJobs) -> jobs_messages.Listing:
        found: list[jobs_messages.JobView] = []
        for job in reversed(self.book.jobs.values()):
            if len(found) >= query.limit:
                break
            if query.account not in (None, job.spec.account):
                continue
            if query.state in (None, job.state):
                found.append(job.view(self._domain))
        return jobs_messages.Listing(tuple(found))

    def _get_use(self, query: jobs_messages.GetUse) -> jobs_messages.DomainUse:
        book = self.book
        names = set(book.use) | set(book.cells.guarantees)
        accounts = {name: self._account_use(name) for name in sorted(names)}
        return jobs_messages.DomainUse(
            accelerators=book.pool.accelerators,
            free_accelerators=book.pool.free_accelerators,
            free_cores=book.pool.free_cores,
            queued_accelerators=book.queue.accelerators,
            queued_cores=book.queue.cores,
            shortfall=book.cells.shortfall(),
            accounts=accounts,
        )

    def _account_use(self, account: str) -> jobs_messages.AccountUse:
        use = self.book.use.get(account, jobs_book.Use())
        return jobs_messages.AccountUse(
            guaranteed=use.guaranteed,
            borrowed=use.borrowed,
            borrowed_cores=use.borrowed_cores,
            queued=self.book.queue.length(account),
            running=use.running,
        )


def same_worker(one: members.Worker, other: members.Worker) -> bool:
    """Returns whether two announcements describe the same worker.

    They do not if the worker has restarted, or its rack or resources have
    changed.
    """
    return (
        one.incarnation == other.incarnation
        and one.rack == other.rack
        and one.accelerators == other.accelerators
        and one.cores == other.cores
        and one.memory_gb == other.memory_gb
    )
