"""The replicated record of jobs, workers and runs.

Everything that must survive the loss of a VM is here: which jobs were
accepted, which runs were placed where, how runs ended. A run is placed here
before its worker is told, and its end is noted here before the worker may
forget it, so that whoever leads next knows of every run that there may be.
"""

import dataclasses
from collections import abc

from laburnumsill.batch import caller_commands
from laburnumsill.batch import checks
from laburnumsill.batch import commands
from laburnumsill.batch import crashes as crash_module
from laburnumsill.batch import ledger_view
from laburnumsill.batch import live_runs
from laburnumsill.batch import model
from laburnumsill.batch import records
from laburnumsill.batch import worker_book
from laburnumsill.core import codec
from laburnumsill.core import replication


@codec.register("batch.snapshot")
@dataclasses.dataclass(frozen=True, slots=True)
class Snapshot:
    """The whole ledger."""

    jobs: list[records.JobRecord]
    workers: list[model.Worker]
    runs: list[records.RunRecord]
    noted: dict[str, int]
    sequences: dict[str, int]
    ended_workers: dict[str, int]
    crashes: crash_module.Records = dataclasses.field(
        default_factory=crash_module.Records
    )


class BatchLedger(replication.Component, ledger_view.LedgerView):
    """Jobs, workers and live runs of one site.

    What always holds: a task has at most one live run; the live runs of a
    worker fit into it; a gang is placed whole; nothing is placed of a job
    that has ended or of a step whose predecessors are not done.

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
        self._book = worker_book.WorkerBook()
        self._live = live_runs.LiveRuns()
        self._waiting: dict[model.StepKey, list[model.TaskId]] = {}
        self._active: dict[str, records.JobRecord] = {}
        self._crashes = crash_module.CrashBook()

    @property
    def crashes(self) -> crash_module.CrashBook:
        """Which tasks are blamed for crashes of workers."""
        return self._crashes

    @property
    def jobs(self) -> abc.Mapping[str, records.JobRecord]:
        """All jobs that are remembered, by id."""
        return self._jobs

    @property
    def active_jobs(self) -> abc.Mapping[str, records.JobRecord]:
        """The jobs that have not ended, by id."""
        return self._active

    @property
    def workers(self) -> abc.Mapping[str, model.Worker]:
        """The workers that are known, by id."""
        return self._book.workers

    @property
    def runs(self) -> abc.Mapping[model.RunId, records.RunRecord]:
        """The runs that may be running."""
        return self._live.all

    @property
    def runs_of_steps(
        self,
    ) -> abc.Mapping[
        model.StepKey, abc.Mapping[model.RunId, records.RunRecord]
    ]:
        """The runs that may be running, by step."""
        return self._live.by_step

    def runs_on(
        self, worker_id: str
    ) -> abc.Mapping[model.RunId, records.RunRecord]:
        """Returns the runs that may be running on a worker."""
        return self._live.on_worker(worker_id)

    def live_run(self, task: model.TaskId) -> model.RunId | None:
        """Returns the run of a task that may be running, or None."""
        return self._live.of_task(task)

    def waiting_tasks(self, key: model.StepKey) -> abc.Sequence[model.TaskId]:
        """Returns the tasks of a step that are neither done nor live."""
        known = self._waiting.get(key)
        if known is None:
            known = self._find_waiting(key)
            self._waiting[key] = known
        return known

    def workers_named(self, name: str) -> abc.Iterator[model.Worker]:
        """Yields the known incarnations that calls to a name may reach."""
        return self._book.named(name)

    def noted(self, worker_id: str) -> int:
        """Returns the place up to which a worker's ends are noted."""
        return self._book.noted.get(worker_id, 0)

    def sequence(self, worker_id: str) -> int:
        """Returns which announcement of a worker the ledger goes by."""
        return self._book.sequences.get(worker_id, 0)

    def has_ended(self, worker_id: str) -> bool:
        """Returns whether a worker's incarnation has certainly ended."""
        return worker_id in self._book.ended

    def needs_of(self, run: model.RunId) -> model.Resources:
        """Returns what a run of a remembered job occupies."""
        return self._jobs[run.task.job_id].job.steps[run.task.step].needs

    def slots_in(self, pool: str, needs: model.Resources) -> int:
        """Returns how many times an amount fits into a pool's workers."""
        return self._book.slots_in(pool, needs)

    def free_on(self, worker_id: str) -> model.Resources:
        """Returns what no live run occupies on a worker."""
        return self.workers[worker_id].capacity - self._live.used_on(worker_id)

    def submit(self, command: caller_commands.SubmitJob) -> None:
        """Accepts a job unless it is known already."""
        job_id = command.job.job_id
        if job_id in self._jobs:
            return
        record = records.new_job(command.job, command.at_ms)
        self._jobs[job_id] = record
        self._active[job_id] = record

    def cancel(
        self, command: caller_commands.CancelJob
    ) -> caller_commands.JobAnswer:
        """Cancels a job; the answer is empty if there is none."""
        record = self._jobs.get(command.job_id)
        if record is None:
            return caller_commands.JobAnswer()
        if record.active:
            self._finish(
                record, caller_commands.JobState.CANCELLED, command.at_ms
            )
        return caller_commands.JobAnswer(str(record.state))

    def place(self, command: commands.PlaceRuns) -> commands.Placed:
        """Places the groups that may be placed."""
        return commands.Placed(
            tuple(
                self._place_group(group, command.at_ms)
                for group in command.groups
            )
        )

    def note_ends(self, command: commands.NoteEnds) -> None:
        """Takes note of ends that were not noted before."""
        noted = self.noted(command.worker_id)
        for end in command.ends:
            if end.number > noted:
                noted = end.number
                self._crashes.explain(command.worker_id, end.run)
                self._end(end, command.at_ms)
        self._book.note_ends(command.worker_id, noted)

    def release(self, command: commands.ReleaseRuns) -> None:
        """Frees what lost runs held."""
        lost = [one.worker_id for one in command.releases if one.is_lost]
        for worker_id in dict.fromkeys(lost):
            self._lose_runs(worker_id)
        for one in command.releases:
            record = self.runs.get(one.run)
            if record is None or record.worker_id != one.worker_id:
                continue
            self._remove_run(one.run)
            self._save(one.run, one.saved)

    def note_running(self, command: commands.NoteRunning) -> None:
        """Takes note of runs that were seen and of their progress."""
        for seen in command.seen:
            record = self.runs.get(seen.run)
            if record is not None:
                record.seen = True
                self._begin(seen.run.task.job_id)
                self._save(seen.run, seen.saved)

    def put_worker(self, command: commands.PutWorker) -> None:
        """Makes a worker known, see `worker_book.WorkerBook.put`."""
        if not self._book.put(command.worker, command.sequence):
            return
        worker_id = command.worker.worker_id
        address = command.worker.address
        for lost_id in self._crashes.lost_at(address, worker_id):
            if lost_id not in self.workers:
                runs = self._crashes.settle(lost_id, True, command.at_ms)
                self._fail_condemned(runs, command.at_ms)

    def remove_worker(self, command: commands.RemoveWorker) -> None:
        """Forgets a worker; its runs are lost."""
        for seen in command.saved:
            if seen.run in self.runs:
                self._save(seen.run, seen.saved)
        runs = list(self.runs_on(command.worker_id))
        self._note_loss(command, runs)
        for run in runs:
            self._lose_run(run, command.successor)
        self._book.remove(command.worker_id, command.ended_ms)

    def _lose_run(self, run: model.RunId, successor: str) -> None:
        """Ends a run with its worker, or leaves it to the next incarnation."""
        record = self._live.remove(run)
        self._waiting.pop(run.task.step_key, None)
        if record is not None and successor in self.workers:
            record.worker_id = successor
            record.is_stray = True
            self._add_run(record)

    def _note_loss(
        self, command: commands.RemoveWorker, runs: list[model.RunId]
    ) -> None:
        """Blames tasks for the end of a worker, now or once it is known."""
        if not command.ended_ms:
            self._lose_runs(command.worker_id)
            return
        at_ms = command.ended_ms
        crashed = command.crashed
        earlier = self._crashes.settle(command.worker_id, crashed, at_ms)
        if crashed:
            begun = [
                run
                for run in runs
                if run not in command.never_began
                and not self.runs[run].is_stray
            ]
            self._crashes.crash(begun, at_ms)
            self._fail_condemned([*earlier, *begun], at_ms)

    def _lose_runs(self, worker_id: str) -> None:
        """Notes that what a worker runs is given up, and it may be up."""
        worker = self.workers.get(worker_id)
        if worker is not None and not worker.draining:
            runs = self.runs_on(worker_id).values()
            ordered = [one.run for one in runs if not one.is_stray]
            self._crashes.lose(worker, ordered)

    def _fail_condemned(
        self, runs: abc.Iterable[model.RunId], at_ms: int
    ) -> None:
        """Fails the jobs whose tasks have crashed too many workers."""
        for run in runs:
            record = self._active.get(run.task.job_id)
            if record is not None and self._crashes.is_condemned(run.task):
                self._finish(record, caller_commands.JobState.FAILED, at_ms)

    def forget(self, command: commands.ForgetJobs) -> None:
        """Forgets what ended long ago; jobs only if they have no live run."""
        self._book.forget(command.ended_before_ms)
        busy = {job_id for job_id, _, _ in self.runs_of_steps}
        for job_id, record in list(self._jobs.items()):
            ended = 0 < record.ended_ms < command.ended_before_ms
            if ended and job_id not in busy:
                del self._jobs[job_id]
        self._crashes.keep_jobs(self._active)

    def may_forget(self, before_ms: int) -> bool:
        """Returns whether `forget` would find something."""
        jobs = (record.ended_ms for record in self._jobs.values())
        ends = (*jobs, *self._book.ended.values())
        return any(0 < ended_ms < before_ms for ended_ms in ends)

    def job_state(
        self, query: caller_commands.JobQuery
    ) -> caller_commands.JobAnswer:
        """Returns the state of a job."""
        record = self._jobs.get(query.job_id)
        return caller_commands.JobAnswer(str(record.state) if record else "")

    def pending(
        self, query: caller_commands.PendingQuery
    ) -> caller_commands.PendingAnswer:
        """Returns how many jobs of a queue have not begun."""
        return caller_commands.PendingAnswer(
            sum(
                not record.begun and record.job.queue == query.queue
                for record in self._active.values()
            )
        )

    def dump(self) -> bytes:
        """Returns the whole ledger, encoded."""
        return codec.encode(
            Snapshot(
                list(self._jobs.values()),
                list(self.workers.values()),
                list(self.runs.values()),
                dict(self._book.noted),
                dict(self._book.sequences),
                dict(self._book.ended),
                self._crashes.records,
            )
        )

    def load(self, raw: bytes) -> None:
        """Replaces the ledger by one that `dump` returned."""
        snapshot: Snapshot = codec.decode(raw)
        self.__init__()  # type: ignore[misc]
        for job in snapshot.jobs:
            self._jobs[job.job.job_id] = job
            if job.active:
                self._active[job.job.job_id] = job
        for worker in snapshot.workers:
            self._book.workers[worker.worker_id] = worker
        for run in snapshot.runs:
            self._add_run(run)
        self._book.noted = dict(snapshot.noted)
        self._book.sequences = dict(snapshot.sequences)
        self._book.ended = dict(snapshot.ended_workers)
        self._crashes = crash_module.CrashBook(snapshot.crashes)

    def _place_group(self, group: commands.Group, at_ms: int) -> str:
        """Places a group whole; returns why not, "" if it was placed."""
        refusal = checks.placement_refusal(self, group)
        if refusal:
            return refusal
        for placement in group:
            task = placement.run.task
            if not self._crashes.may_start(task):
                record = self._jobs[task.job_id]
                self._finish(record, caller_commands.JobState.FAILED, at_ms)
                return f"{task} has crashed too many workers"
        for placement in group:
            task = placement.run.task
            self._crashes.start(task)
            record = self._jobs[task.job_id]
            known = record.task(task)
            if known is not None:
                known.last_run = placement.run.number
            record.state = caller_commands.JobState.RUNNING
            self._add_run(
                records.RunRecord(placement.run, placement.worker_id, at_ms)
            )
        return ""

    def _end(self, end: commands.EndedRun, at_ms: int) -> None:
        """Takes note of one end.

        A run that is not live any more may still turn out to have been done
        or to have failed: the worker listed that before its lease ended, and
        nobody could read it then. Both count.
        """
        self._remove_run(end.run)
        record = self._jobs.get(end.run.task.job_id)
        task = record.task(end.run.task) if record else None
        if record is None or task is None:
            return
        self._begin(end.run.task.job_id)
        self._save(end.run, end.saved)
        if end.kind is commands.EndKind.DONE:
            self._note_done(record, end.run, at_ms)
        elif end.kind is commands.EndKind.FAILED:
            self._note_failure(record, end.run, at_ms)

    def _note_done(
        self, record: records.JobRecord, run: model.RunId, at_ms: int
    ) -> None:
        """One member's end stands for its whole gang."""
        step = record.step(run.task)
        if step is None:
            return
        done = [run.task]
        if record.job.steps[run.task.step].gang:
            done = list(records.siblings(record.job, run.task))
        for task in done:
            known = step.tasks[task.index]
            if not known.done_run:
                known.done_run = run.number
                step.undone -= 1
        self._waiting.pop(run.task.step_key, None)
        if record.active and record.done:
            self._finish(record, caller_commands.JobState.COMPLETED, at_ms)

    def _note_failure(
        self, record: records.JobRecord, run: model.RunId, at_ms: int
    ) -> None:
        step = record.step(run.task)
        if step is None:
            return
        spec = record.job.steps[run.task.step]
        if spec.gang:
            if run.number in step.failed_runs:
                return  # another member has brought it down already
            step.failed_runs.append(run.number)
            for task in step.tasks:
                task.failures += 1
        else:
            step.tasks[run.task.index].failures += 1
        spent = records.attempts(record, run.task)
        hopeless = spent >= record.job.terms.max_attempts
        if hopeless and not spec.long_running and record.active:
            self._finish(record, caller_commands.JobState.FAILED, at_ms)

    def _finish(
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

    def _begin(self, job_id: str) -> None:
        record = self._jobs.get(job_id)
        if record is not None:
            record.begun = True

    def _save(self, run: model.RunId, saved: str) -> None:
        """Keeps progress; that of a gang's member is that of the gang."""
        record = self._jobs.get(run.task.job_id)
        step = record.step(run.task) if record else None
        if not saved or record is None or step is None:
            return
        if record.job.steps[run.task.step].gang:
            for task in step.tasks:
                task.saved = saved
        elif run.number >= step.tasks[run.task.index].last_run:
            step.tasks[run.task.index].saved = saved

    def _add_run(self, record: records.RunRecord) -> None:
        self._live.add(record, self.needs_of(record.run))
        self._waiting.pop(record.run.task.step_key, None)

    def _remove_run(self, run: model.RunId) -> None:
        self._live.remove(run)
        self._waiting.pop(run.task.step_key, None)

    def _find_waiting(self, key: model.StepKey) -> list[model.TaskId]:
        job_id, occurrence, number = key
        tasks = self._jobs[job_id].steps[occurrence][number].tasks
        names = (
            model.TaskId(job_id, occurrence, number, index)
            for index, task in enumerate(tasks)
            if not task.done_run
        )
        return [name for name in names if self.live_run(name) is None]

    def commands(self) -> dict[type, replication.Handler]:
        """Returns the handlers of commands."""
        return {
            caller_commands.SubmitJob: self.submit,
            caller_commands.CancelJob: self.cancel,
            commands.PlaceRuns: self.place,
            commands.NoteEnds: self.note_ends,
            commands.ReleaseRuns: self.release,
            commands.NoteRunning: self.note_running,
            commands.PutWorker: self.put_worker,
            commands.RemoveWorker: self.remove_worker,
            commands.ForgetJobs: self.forget,
        }

    def queries(self) -> dict[type, replication.Handler]:
        """Returns the handlers of queries."""
        return {
            caller_commands.JobQuery: self.job_state,
            caller_commands.PendingQuery: self.pending,
        }
