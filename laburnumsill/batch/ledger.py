"""The replicated record of jobs, workers and runs.

The ledger holds everything that must survive the loss of a VM: the accepted
jobs, the placements of runs, and how runs ended. A run is recorded here before
its worker is ordered to start it, and its end is recorded here before the
worker may discard it. The next leader therefore knows every run that may
exist.
"""

import dataclasses
from collections import abc

from laburnumsill.batch import caller_commands
from laburnumsill.batch import commands
from laburnumsill.batch import crashes as crash_module
from laburnumsill.batch import evacuations
from laburnumsill.batch import ledger_view
from laburnumsill.batch import live_runs
from laburnumsill.batch import model
from laburnumsill.batch import placement_checks
from laburnumsill.batch import queue_pools
from laburnumsill.batch import records
from laburnumsill.batch import withdrawn_jobs
from laburnumsill.batch import worker_registry
from laburnumsill.core import codec
from laburnumsill.core import replication


@codec.register("batch.snapshot")
@dataclasses.dataclass(frozen=True, slots=True)
class Snapshot:
    """The encoded state of a `BatchLedger`.

    Attributes:
        jobs: All job records.
        workers: The present workers.
        runs: The live runs.
        noted: By worker id: number of the last recorded end.
        sequences: By worker id: sequence number of the last announcement that
            was applied.
        ended_workers: By worker id: when the incarnation ended, ms since 1970.
        crashes: Records of crashes and of lost workers.
        domains: States of the failure domains that were ever evacuated.
        withdrawn: Jobs that were cancelled before they were submitted, by id.
        moved_queues: Pools of the queues that were moved while they had jobs.
    """

    jobs: list[records.JobRecord]
    workers: list[model.Worker]
    runs: list[records.RunRecord]
    noted: dict[str, int]
    sequences: dict[str, int]
    ended_workers: dict[str, int]
    crashes: crash_module.Records = dataclasses.field(
        default_factory=crash_module.Records
    )
    domains: dict[str, evacuations.DomainState] = dataclasses.field(
        default_factory=dict
    )
    withdrawn: dict[str, withdrawn_jobs.Withdrawal] = dataclasses.field(
        default_factory=dict
    )
    moved_queues: dict[str, queue_pools.QueuePool] = dataclasses.field(
        default_factory=dict
    )


class BatchLedger(replication.Component, ledger_view.LedgerView):
    """Jobs, workers and live runs of one site.

    A run is live from its placement until its end or its release is recorded.

    Invariants: a task has at most one live run; the live runs of a worker fit
    into its capacity; a gang is placed as a whole; no run is placed of a job
    that has ended, of a step whose dependencies are not done, or in an
    evacuated failure domain; no job is accepted after it was cancelled.

    Examples:
        >>> ledger = BatchLedger()
        >>> step = model.Step(1, model.Resources(1000, 64, 1))
        >>> job = model.Job("j1", "q", "a", "", (step,),
        ...                 model.QueueTerms("pool", 0, 3))
        >>> ledger.submit(caller_commands.SubmitJob(job, 0))
        >>> ledger.job_state(caller_commands.JobQuery("j1")).state
        'queued'
    """

    name = "batch"

    def __init__(self) -> None:
        self._jobs: dict[str, records.JobRecord] = {}
        self._steps = 0
        self._content_bytes = 0
        self._registry = worker_registry.WorkerRegistry()
        self._live = live_runs.LiveRuns()
        self._waiting: dict[model.StepKey, list[model.TaskId]] = {}
        self._active: dict[str, records.JobRecord] = {}
        self._crashes = crash_module.CrashTracker()
        self._evacuations = evacuations.Evacuations()
        self._withdrawn = withdrawn_jobs.WithdrawnJobs()
        self._queue_pools = queue_pools.QueuePools()

    @property
    def crashes(self) -> crash_module.CrashTracker:
        """Attribution of worker crashes to tasks."""
        return self._crashes

    @property
    def evacuated_domains(self) -> abc.Set[str]:
        """The evacuated failure domains."""
        return self._evacuations.evacuated

    @property
    def withdrawn(self) -> abc.Collection[str]:
        """Ids of the jobs that were cancelled before they were submitted."""
        return self._withdrawn.records

    @property
    def jobs(self) -> abc.Mapping[str, records.JobRecord]:
        """All jobs whose records are kept, by id."""
        return self._jobs

    @property
    def active_jobs(self) -> abc.Mapping[str, records.JobRecord]:
        """The jobs that have not ended, by id."""
        return self._active

    @property
    def workers(self) -> abc.Mapping[str, model.Worker]:
        """The present workers, by id."""
        return self._registry.workers

    @property
    def runs(self) -> abc.Mapping[model.RunId, records.RunRecord]:
        """The live runs, by id."""
        return self._live.all

    @property
    def runs_by_step(
        self,
    ) -> abc.Mapping[
        model.StepKey, abc.Mapping[model.RunId, records.RunRecord]
    ]:
        """The live runs, by step."""
        return self._live.by_step

    def runs_on(
        self, worker_id: str
    ) -> abc.Mapping[model.RunId, records.RunRecord]:
        """Returns the live runs on a worker."""
        return self._live.on_worker(worker_id)

    def live_run(self, task: model.TaskId) -> model.RunId | None:
        """Returns the live run of a task, or None."""
        return self._live.of_task(task)

    def waiting_tasks(self, key: model.StepKey) -> abc.Sequence[model.TaskId]:
        """Returns the tasks of a step that are not done and have no live run.

        The result is cached until a run of the step starts or ends, or a task
        of it is done.
        """
        waiting = self._waiting.get(key)
        if waiting is None:
            waiting = self._find_waiting(key)
            self._waiting[key] = waiting
        return waiting

    def workers_named(self, name: str) -> abc.Iterator[model.Worker]:
        """Yields the present incarnations that calls to a name may reach."""
        return self._registry.named(name)

    def last_end(self, worker_id: str) -> int:
        """Returns the number of a worker's last recorded end, 0 for none."""
        return self._registry.last_ends.get(worker_id, 0)

    def last_sequence(self, worker_id: str) -> int:
        """Returns the sequence number of a worker's last announcement."""
        return self._registry.sequences.get(worker_id, 0)

    def is_departing(self, worker_id: str) -> bool:
        """Returns whether a present worker has announced its end."""
        return self._registry.is_departing(worker_id)

    def has_ended(self, worker_id: str) -> bool:
        """Returns whether a worker's incarnation is known to have ended."""
        return worker_id in self._registry.ended

    def needs_of(self, run: model.RunId) -> model.Resources:
        """Returns the resources of a run, whose job must be in the ledger."""
        return self._jobs[run.task.job_id].job.steps[run.task.step].needs

    def pool_of(self, job: model.Job) -> str:
        """Returns the pool whose workers run the tasks of a job."""
        return self._queue_pools.pool_of(job)

    def is_evacuated(self, domain: str) -> bool:
        """Returns whether a failure domain is evacuated."""
        return self._evacuations.is_evacuated(domain)

    def slots_in(self, pool: str, needs: model.Resources) -> int:
        """Returns how many copies of an amount fit into a pool's workers.

        Live runs are not subtracted. Workers in evacuated failure domains do
        not count.
        """
        return self._registry.slots_in(pool, needs)

    def free_on(self, worker_id: str) -> model.Resources:
        """Returns the free capacity of a worker."""
        return self.workers[worker_id].capacity - self._live.used_on(worker_id)

    def submit(self, command: caller_commands.SubmitJob) -> None:
        """Accepts a job unless there is one with its id.

        Raises:
            caller_commands.JobWithdrawnError: It was cancelled before.
            caller_commands.TooManyStepsError: All jobs together would have too
                many steps.
            caller_commands.JobsTooLargeError: They would take too much memory.
        """
        job_id = command.job.job_id
        if job_id in self._jobs:
            return
        self._withdrawn.check(job_id)
        steps = self._steps + command.job.total_steps
        if command.max_steps and steps > command.max_steps:
            raise caller_commands.TooManyStepsError(
                f"{steps} steps, {command.max_steps} at most"
            )
        content = self._content_bytes + command.job.content_bytes
        if command.max_content_bytes and content > command.max_content_bytes:
            raise caller_commands.JobsTooLargeError(
                f"{content} bytes, {command.max_content_bytes} at most"
            )
        self._steps = steps
        self._content_bytes = content
        record = records.new_job(command.job, command.at_ms)
        self._jobs[job_id] = record
        self._active[job_id] = record

    def cancel(
        self, command: caller_commands.CancelJob
    ) -> caller_commands.JobAnswer:
        """Cancels a job, or withdraws one that does not exist.

        Returns:
            The state of the job, empty if it does not exist.

        Raises:
            caller_commands.TooManyWithdrawnError: The job does not exist and
                was not withdrawn.
        """
        record = self._jobs.get(command.job_id)
        if record is None:
            if command.account is not None:
                self._withdrawn.add(
                    command.job_id, command.account, command.at_ms
                )
            return caller_commands.JobAnswer()
        if record.active:
            self._finish_job(
                record, caller_commands.JobState.CANCELLED, command.at_ms
            )
        return caller_commands.JobAnswer(str(record.state))

    def place(self, command: commands.PlaceRuns) -> commands.Placed:
        """Places each group of runs, or returns why it was refused."""
        return commands.Placed(
            tuple(self._place_group(group, command) for group in command.groups)
        )

    def note_ends(self, command: commands.NoteEnds) -> None:
        """Records the ends that were not recorded before."""
        last = self.last_end(command.worker_id)
        for end in command.ends:
            if end.number > last:
                last = end.number
                self._crashes.clear_run(command.worker_id, end.run)
                self._record_end(end, command)
        self._registry.record_ends(command.worker_id, last)

    def release(self, command: commands.ReleaseRuns) -> None:
        """Removes live runs that are lost or were never started."""
        lost = [release for release in command.releases if release.is_lost]
        unconfirmed = {
            release.run for release in lost if release.is_unconfirmed
        }
        for worker_id in dict.fromkeys(release.worker_id for release in lost):
            self._record_loss(worker_id, unconfirmed)
        for release in command.releases:
            record = self.runs.get(release.run)
            if record is None or record.worker_id != release.worker_id:
                continue
            self._remove_run(release.run)
            self._save_progress(release.run, release.saved)

    def note_running(self, command: commands.NoteRunning) -> None:
        """Records that runs were seen running, and their saved progress."""
        for seen in command.seen:
            record = self.runs.get(seen.run)
            if record is not None:
                record.seen = True
                self._mark_begun(seen.run.task.job_id)
                self._save_progress(seen.run, seen.saved)

    def put_worker(self, command: commands.PutWorker) -> None:
        """Adds or updates a worker.

        Lost workers at the same address have crashed, unless they are still
        present: the tasks that ran on them are blamed.
        """
        if not self._registry.put(command.worker, command.sequence):
            return
        worker_id = command.worker.worker_id
        address = command.worker.address
        for lost_id in self._crashes.lost_at(address, worker_id):
            if lost_id not in self.workers:
                runs = self._crashes.resolve_loss(lost_id, True, command.at_ms)
                self._fail_blamed_jobs(runs, command.at_ms, command)

    def note_departure(self, command: commands.NoteDeparture) -> None:
        """Records that a worker has announced its end.

        A present worker stays, since it may execute its runs for a while. An
        absent one has no runs and is not added again.
        """
        worker_id = command.worker_id
        if worker_id in self.workers:
            self._registry.depart(worker_id)
            return
        self.remove_worker(
            commands.RemoveWorker(worker_id, "it left", (), command.at_ms)
        )

    def remove_worker(self, command: commands.RemoveWorker) -> None:
        """Removes a worker; its runs are lost or pass to its successor."""
        for seen in command.saved:
            if seen.run in self.runs:
                self._save_progress(seen.run, seen.saved)
        runs = list(self.runs_on(command.worker_id))
        self._attribute_loss(command, runs)
        for run in runs:
            self._drop_or_reassign(run, command.successor)
        self._registry.remove(command.worker_id, command.ended_ms)

    def _drop_or_reassign(self, run: model.RunId, successor: str) -> None:
        """Removes a live run, or assigns it to the successor as a stray."""
        record = self._live.remove(run)
        self._waiting.pop(run.task.step_key, None)
        if record is not None and successor in self.workers:
            record.worker_id = successor
            record.is_stray = True
            self._add_run(record)

    def _attribute_loss(
        self, command: commands.RemoveWorker, runs: list[model.RunId]
    ) -> None:
        """Blames the tasks of a removed worker if it has crashed.

        If it is not known whether the worker has ended, its runs are recorded
        as lost, and their tasks are blamed once a crash is known.
        """
        if command.outlived_losses:
            self._crashes.resolve_loss(
                command.worker_id, False, command.ended_ms
            )
        if not command.ended_ms:
            self._record_loss(command.worker_id, command.unconfirmed)
            return
        at_ms = command.ended_ms
        crashed = command.crashed
        earlier = self._crashes.resolve_loss(command.worker_id, crashed, at_ms)
        if crashed:
            begun = [
                run
                for run in runs
                if run not in command.never_began
                and not self.runs[run].is_stray
            ]
            self._crashes.record_crash(begun, at_ms, command.unconfirmed)
            self._fail_blamed_jobs([*earlier, *begun], at_ms, command)

    def _record_loss(
        self, worker_id: str, unconfirmed: abc.Container[model.RunId]
    ) -> None:
        """Records the runs of a worker as lost, unless it is draining.

        Args:
            worker_id: The worker.
            unconfirmed: Runs that are not known to have begun.
        """
        worker = self.workers.get(worker_id)
        if worker is not None and not worker.draining:
            runs = self.runs_on(worker_id).values()
            ordered = [record.run for record in runs if not record.is_stray]
            self._crashes.record_loss(worker, ordered, unconfirmed)

    def _fail_blamed_jobs(
        self,
        runs: abc.Iterable[model.RunId],
        at_ms: int,
        command: commands.PutWorker | commands.RemoveWorker,
    ) -> None:
        """Fails the jobs of runs whose tasks have reached the blame limit."""
        for run in runs:
            record = self._active.get(run.task.job_id)
            if record is None or not self._crashes.is_over_limit(run.task):
                continue
            if not self._is_spared(run.task, command):
                self._finish_job(record, caller_commands.JobState.FAILED, at_ms)

    def _is_spared(
        self,
        task: model.TaskId,
        command: commands.PlaceRuns
        | commands.PutWorker
        | commands.RemoveWorker,
    ) -> bool:
        """Returns whether a task is restarted however many workers crash.

        A long-running task runs for days, so its workers also crash for
        reasons of their own. It stays isolated from others, see `crashes`.
        """
        step = self._jobs[task.job_id].job.steps[task.step]
        return command.spares_long_running and step.long_running

    def move_queues(self, command: queue_pools.MoveQueues) -> None:
        """Sends the waiting tasks of queues to other pools; runs go on."""
        self._queue_pools.move(command)

    def set_evacuation(
        self, order: evacuations.SetEvacuation
    ) -> evacuations.DomainState:
        """Evacuates a failure domain or takes it back.

        Raises:
            evacuations.EvacuationConflictError: The order would revert a later
                one.
        """
        state = self._evacuations.apply(order)
        self._registry.set_excluded_domains(self.evacuated_domains)
        return state

    def domain_status(
        self, query: evacuations.DomainQuery
    ) -> evacuations.DomainStatus:
        """Returns the state of a failure domain and its use."""
        inside = [
            worker
            for worker in self.workers.values()
            if worker.domain == query.domain
        ]
        left = sum(
            worker.capacity.accelerators
            for worker in self.workers.values()
            if not self.is_evacuated(worker.domain)
        )
        return evacuations.DomainStatus(
            self._evacuations.state(query.domain),
            bool(inside),
            sum(len(self.runs_on(worker.worker_id)) for worker in inside),
            left,
        )

    def forget(self, command: commands.ForgetJobs) -> None:
        """Deletes jobs and workers that ended before a time.

        A job with a live run is kept. Withdrawn jobs are deleted likewise, and
        the pools of queues without jobs.
        """
        self._registry.forget(command.ended_before_ms)
        self._withdrawn.forget(command.ended_before_ms)
        busy = {job_id for job_id, _, _ in self.runs_by_step}
        for job_id, record in list(self._jobs.items()):
            ended = 0 < record.ended_ms < command.ended_before_ms
            if ended and job_id not in busy:
                del self._jobs[job_id]
                self._steps -= record.job.total_steps
                self._content_bytes -= record.job.content_bytes
        self._crashes.keep_jobs(self._active)
        queues = {record.job.queue for record in self._jobs.values()}
        self._queue_pools.keep(queues)

    def has_expired_records(self, before_ms: int) -> bool:
        """Returns whether a job or a worker ended before `before_ms`.

        If none did, and no job was withdrawn before, `ForgetJobs` with that
        time would delete nothing.
        """
        if self._withdrawn.has_expired(before_ms):
            return True
        jobs = (record.ended_ms for record in self._jobs.values())
        ends = (*jobs, *self._registry.ended.values())
        return any(0 < ended_ms < before_ms for ended_ms in ends)

    def job_state(
        self, query: caller_commands.JobQuery
    ) -> caller_commands.JobAnswer:
        """Returns the state of a job; empty if the job does not exist."""
        record = self._jobs.get(query.job_id)
        return caller_commands.JobAnswer(str(record.state) if record else "")

    def pending(
        self, query: caller_commands.PendingQuery
    ) -> caller_commands.PendingAnswer:
        """Returns the number of active jobs of a queue that have not begun."""
        return caller_commands.PendingAnswer(
            sum(
                not record.begun and record.job.queue == query.queue
                for record in self._active.values()
            )
        )

    def dump(self) -> bytes:
        """Returns a snapshot of the ledger, encoded."""
        return codec.encode(
            Snapshot(
                list(self._jobs.values()),
                list(self.workers.values()),
                list(self.runs.values()),
                dict(self._registry.last_ends),
                dict(self._registry.sequences),
                dict(self._registry.ended),
                self._crashes.records,
                dict(self._evacuations.states),
                dict(self._withdrawn.records),
                dict(self._queue_pools.records),
            )
        )

    def load(self, raw: bytes) -> None:
        """Replaces the state of the ledger by a snapshot from `dump`."""
        snapshot: Snapshot = codec.decode(raw)
        self.__init__()  # type: ignore[misc]
        for job in snapshot.jobs:
            self._jobs[job.job.job_id] = job
            self._steps += job.job.total_steps
            self._content_bytes += job.job.content_bytes
            if job.active:
                self._active[job.job.job_id] = job
        for worker in snapshot.workers:
            self._registry.workers[worker.worker_id] = worker
        for run in snapshot.runs:
            self._add_run(run)
        self._registry.last_ends = dict(snapshot.noted)
        self._registry.sequences = dict(snapshot.sequences)
        self._registry.ended = dict(snapshot.ended_workers)
        self._crashes = crash_module.CrashTracker(snapshot.crashes)
        self._evacuations.states = dict(snapshot.domains)
        self._withdrawn.load(snapshot.withdrawn)
        self._queue_pools = queue_pools.QueuePools(snapshot.moved_queues)
        self._registry.set_excluded_domains(self.evacuated_domains)

    def _place_group(
        self, group: commands.Group, command: commands.PlaceRuns
    ) -> str:
        """Places a group of runs as a whole.

        Returns:
            Why the group was refused, "" if it was placed.
        """
        refusal = placement_checks.placement_refusal(
            self, group, command.semantics
        )
        if refusal:
            return refusal
        for placement in group:
            task = placement.run.task
            if not self._crashes.may_start(task) and not self._is_spared(
                task, command
            ):
                record = self._jobs[task.job_id]
                failed = caller_commands.JobState.FAILED
                self._finish_job(record, failed, command.at_ms)
                return f"{task} has crashed too many workers"
        for placement in group:
            task = placement.run.task
            self._crashes.record_start(task)
            record = self._jobs[task.job_id]
            task_record = record.task(task)
            if task_record is not None:
                task_record.last_run = placement.run.number
            record.state = caller_commands.JobState.RUNNING
            self._add_run(
                records.RunRecord(
                    placement.run, placement.worker_id, command.at_ms
                )
            )
        return ""

    def _record_end(
        self, end: commands.EndedRun, command: commands.NoteEnds
    ) -> None:
        """Records the end of a run.

        Success and failure also count for a run that is not live: its worker
        may have recorded the end before the lease expired, while the worker
        was unreachable.
        """
        self._remove_run(end.run)
        record = self._jobs.get(end.run.task.job_id)
        task = record.task(end.run.task) if record else None
        if record is None or task is None:
            return
        self._mark_begun(end.run.task.job_id)
        self._save_progress(end.run, end.saved)
        if end.kind is commands.EndKind.DONE:
            self._record_success(record, end.run, command)
        elif end.kind is commands.EndKind.FAILED:
            self._record_failure(record, end.run, command.at_ms)

    def _record_success(
        self,
        record: records.JobRecord,
        run: model.RunId,
        command: commands.NoteEnds,
    ) -> None:
        """Marks the task of a run as done, or all tasks of its gang.

        A long-running task is not done however its run ends, and its job is
        completed only by commands of earlier versions.
        """
        restarts = command.semantics >= commands.RESTARTS_LONG_RUNNING
        step = record.step(run.task)
        if step is None or (
            restarts and record.job.steps[run.task.step].long_running
        ):
            return
        done = [run.task]
        if record.job.steps[run.task.step].gang:
            done = list(records.siblings(record.job, run.task))
        for task in done:
            task_record = step.tasks[task.index]
            if not task_record.done_run:
                task_record.done_run = run.number
                step.undone -= 1
        self._waiting.pop(run.task.step_key, None)
        lasts = restarts and record.job.lasts
        if record.active and record.done and not lasts:
            completed = caller_commands.JobState.COMPLETED
            self._finish_job(record, completed, command.at_ms)

    def _record_failure(
        self, record: records.JobRecord, run: model.RunId, at_ms: int
    ) -> None:
        """Counts the failure of a run, once for each run of a gang.

        Fails the job if the attempts are used up, unless the step is
        long-running.
        """
        step = record.step(run.task)
        if step is None:
            return
        spec = record.job.steps[run.task.step]
        if spec.gang:
            if run.number in step.failed_runs:
                return  # the failure of another member was counted already
            step.failed_runs.append(run.number)
            for task in step.tasks:
                task.failures += 1
        else:
            step.tasks[run.task.index].failures += 1
        failed = records.failed_attempts(record, run.task)
        used_up = failed >= record.job.terms.max_attempts
        if used_up and not spec.long_running and record.active:
            self._finish_job(record, caller_commands.JobState.FAILED, at_ms)

    def _finish_job(
        self,
        record: records.JobRecord,
        state: caller_commands.JobState,
        at_ms: int,
    ) -> None:
        record.state = state
        record.ended_ms = max(1, at_ms)
        self._active.pop(record.job.job_id, None)
        for key in records.step_keys(record.job):
            self._waiting.pop(key, None)

    def _mark_begun(self, job_id: str) -> None:
        record = self._jobs.get(job_id)
        if record is not None:
            record.begun = True

    def _save_progress(self, run: model.RunId, saved: str) -> None:
        """Stores saved progress of a task, or of all members of its gang.

        Progress of an earlier run than the newest is ignored.
        """
        record = self._jobs.get(run.task.job_id)
        step = record.step(run.task) if record else None
        if not saved or record is None or step is None:
            return
        tasks = [step.tasks[run.task.index]]
        if record.job.steps[run.task.step].gang:
            tasks = step.tasks
        if run.number >= max(task.last_run for task in tasks):
            for task in tasks:
                task.saved = saved

    def _add_run(self, record: records.RunRecord) -> None:
        self._live.add(record, self.needs_of(record.run))
        self._waiting.pop(record.run.task.step_key, None)

    def _remove_run(self, run: model.RunId) -> None:
        self._live.remove(run)
        self._waiting.pop(run.task.step_key, None)

    def _find_waiting(self, key: model.StepKey) -> list[model.TaskId]:
        undone = self._jobs[key[0]].undone_tasks(key)
        return [task for task in undone if self.live_run(task) is None]

    def commands(self) -> dict[type, replication.Handler]:
        """Returns the handler of each type of command."""
        return {
            caller_commands.SubmitJob: self.submit,
            caller_commands.CancelJob: self.cancel,
            commands.PlaceRuns: self.place,
            commands.NoteEnds: self.note_ends,
            commands.ReleaseRuns: self.release,
            commands.NoteRunning: self.note_running,
            commands.PutWorker: self.put_worker,
            commands.NoteDeparture: self.note_departure,
            commands.RemoveWorker: self.remove_worker,
            commands.ForgetJobs: self.forget,
            evacuations.SetEvacuation: self.set_evacuation,
            queue_pools.MoveQueues: self.move_queues,
        }

    def queries(self) -> dict[type, replication.Handler]:
        """Returns the handler of each type of query."""
        return {
            caller_commands.JobQuery: self.job_state,
            caller_commands.PendingQuery: self.pending,
            evacuations.DomainQuery: self.domain_status,
        }
