"""Jobs, their steps and resources, and the ids of tasks and runs."""

import msgspec

from laburnumsill.core import codec


@codec.register("batch.resources")
class Resources(msgspec.Struct, frozen=True, gc=False):
    """An amount of CPU, memory and accelerators.

    Used for the capacity of a worker and for the needs of a task.

    Attributes:
        cpu_millis: Thousandths of a core.
        memory_mb: Memory in MB.
        accelerators: Number of whole accelerators.
    """

    cpu_millis: int = 0
    memory_mb: int = 0
    accelerators: int = 0

    def __add__(self, other: "Resources") -> "Resources":
        return Resources(
            self.cpu_millis + other.cpu_millis,
            self.memory_mb + other.memory_mb,
            self.accelerators + other.accelerators,
        )

    def __sub__(self, other: "Resources") -> "Resources":
        return Resources(
            self.cpu_millis - other.cpu_millis,
            self.memory_mb - other.memory_mb,
            self.accelerators - other.accelerators,
        )

    def fits_in(self, available: "Resources") -> bool:
        """Returns whether no resource of this amount exceeds `available`.

        Examples:
            >>> Resources(1000, 64, 1).fits_in(Resources(1000, 64, 0))
            False
        """
        return (
            self.cpu_millis <= available.cpu_millis
            and self.memory_mb <= available.memory_mb
            and self.accelerators <= available.accelerators
        )

    def elementwise_min(self, other: "Resources") -> "Resources":
        """Returns the minimum of both amounts for each resource.

        Examples:
            >>> Resources(1000, 64, 2).elementwise_min(Resources(500, 80, 2))
            Resources(cpu_millis=500, memory_mb=64, accelerators=2)
        """
        return Resources(
            min(self.cpu_millis, other.cpu_millis),
            min(self.memory_mb, other.memory_mb),
            min(self.accelerators, other.accelerators),
        )

    def copies_in(self, available: "Resources") -> int:
        """Returns how many copies of this amount fit into `available`.

        The result is 0 if a resource of `available` is negative, and
        `UNBOUNDED` if this amount is zero.

        Examples:
            >>> Resources(1000, 64, 2).copies_in(Resources(9000, 640, 8))
            4
            >>> Resources(1000, 64, 0).copies_in(Resources(9000, 640, -1))
            0
        """
        # Makes no function calls, for speed: the planner evaluates this for
        # each pair of a worker and a unit.
        if (
            available.cpu_millis < 0
            or available.memory_mb < 0
            or available.accelerators < 0
        ):
            return 0
        copies = UNBOUNDED
        if self.cpu_millis > 0:
            copies = available.cpu_millis // self.cpu_millis
        if self.memory_mb > 0:
            fitting = available.memory_mb // self.memory_mb
            if fitting < copies:
                copies = fitting
        if self.accelerators > 0:
            fitting = available.accelerators // self.accelerators
            if fitting < copies:
                copies = fitting
        return copies


UNBOUNDED = 1_000_000
"""Result of `Resources.copies_in` for a task that needs no resources."""

CORES_PER_ACCELERATOR = 8
"""Number of cores that one accelerator counts for where amounts are compared
in cores; the users' price list has the same ratio."""


@codec.register("batch.step")
class Step(msgspec.Struct, frozen=True):
    """A step of a job: a number of identical tasks.

    Attributes:
        tasks: Number of tasks.
        needs: Resources that each task needs.
        estimated_ms: Run time of a task as the submitter estimates it, in ms;
            it may be far off.
        depends_on: Numbers of the earlier steps that must be done before this
            step starts.
        gang: Whether the tasks must all run at the same time.
        same_rack: Whether the tasks are much slower if they are spread over
            more than one rack.
        data_rack: The rack that holds the tasks' data, or ""; the tasks are
            much slower on other racks.
        required_label: The label that a worker must have to run the tasks,
            or "".
        max_per_worker: Maximum number of tasks of one occurrence on one
            worker; 0 for no limit.
        speculative: Whether the submitter allows a second copy of a task to
            run beside the first.
        saves_progress: Whether a later run can resume from saved progress.
        long_running: Whether the tasks run until the job is cancelled.
    """

    tasks: int
    needs: Resources
    estimated_ms: int = 0
    depends_on: tuple[int, ...] = ()
    gang: bool = False
    same_rack: bool = False
    data_rack: str = ""
    required_label: str = ""
    max_per_worker: int = 0
    speculative: bool = False
    saves_progress: bool = False
    long_running: bool = False

    @property
    def measures_worker_speed(self) -> bool:
        """Whether the run time of a task measures the speed of its worker.

        It does not for a gang, which runs as long as its slowest member, nor
        for a task with a data rack, which is slower on other racks, nor for a
        long-running task, which has no amount of work.
        """
        return not (self.gang or self.data_rack or self.long_running)


@codec.register("batch.queue-terms")
class QueueTerms(msgspec.Struct, frozen=True):
    """Settings of a job's queue, as of the acceptance of the job.

    All but the pool bind the job until its end: it was accepted with this
    number of attempts and this objective, and the time in which an urgent job
    has to begin counts from its acceptance. The pool is the one that the queue
    has when a task is placed, see `queue_pools`: a queue names the workers that
    run its tasks, and those of a former pool may have left.

    Attributes:
        pool: The pool whose workers run the tasks unless the queue is moved.
        priority: Jobs with lower numbers are placed first; jobs of priority
            0 may preempt others.
        max_attempts: Number of failures of a task at which its job fails.
        stretch: Factor of the completion objective, which is `stretch` times
            the run time of the critical path, plus `target_ms`.
        target_ms: Constant part of the completion objective, in ms.
    """

    pool: str
    priority: int
    max_attempts: int
    stretch: float = 1.0
    target_ms: int = 0


STEP_BYTES = 2_500
"""Memory that a replica takes for a step and its record, in bytes."""

TASK_BYTES = 220
"""Memory that a replica takes for the record of a task, in bytes."""

DEPENDENCY_BYTES = 16
"""Memory that a replica takes for a dependency of a step, in bytes."""


@codec.register("batch.job")
class Job(msgspec.Struct, frozen=True):
    """A job as it was submitted.

    Attributes:
        job_id: Chosen by the submitter, unique in the site.
        queue: The name of its queue.
        account: The client account, "" where the queue needs none.
        payload: Opaque text, passed on to the workers.
        steps: The steps, in order; `Step.depends_on` refers to their indices.
        terms: Settings of its queue when it was accepted.
        repeat_count: Number of occurrences; 0 for a single one that is due
            at once.
        first_due_ms: Due time of occurrence 0, ms since 1970.
        interval_ms: Time from one occurrence to the next.
    """

    job_id: str
    queue: str
    account: str
    payload: str
    steps: tuple[Step, ...]
    terms: QueueTerms
    repeat_count: int = 0
    first_due_ms: int = 0
    interval_ms: int = 0

    @property
    def occurrences(self) -> int:
        """Number of occurrences: how many times the steps run."""
        return max(1, self.repeat_count)

    @property
    def total_steps(self) -> int:
        """Number of the steps of all occurrences."""
        return len(self.steps) * self.occurrences

    @property
    def lasts(self) -> bool:
        """Whether the job runs until it is cancelled."""
        return any(step.long_running for step in self.steps)

    @property
    def content_bytes(self) -> int:
        """Memory that the job and the records of its tasks take, in bytes.

        An estimate; it depends on nothing but the job, so that all replicas
        have the same one.
        """
        tasks = sum(step.tasks for step in self.steps)
        dependencies = sum(len(step.depends_on) for step in self.steps)
        return (
            self.occurrences * tasks * TASK_BYTES
            + self.total_steps * STEP_BYTES
            + dependencies * DEPENDENCY_BYTES
            + len(self.payload)
        )

    def due_ms(self, occurrence: int) -> int:
        """Returns the due time of an occurrence, ms since 1970; 0 for now."""
        if not self.repeat_count:
            return 0
        return self.first_due_ms + occurrence * self.interval_ms


StepKey = tuple[str, int, int]
"""Id of one step of one occurrence: job id, occurrence and step number."""


@codec.register("batch.task-id")
class TaskId(
    msgspec.Struct, frozen=True, order=True, cache_hash=True, gc=False
):
    """The id of a task, unique in the site.

    Examples:
        >>> str(TaskId("5c0e", 0, 1, 17))
        '5c0e.0.1.17'
        >>> TaskId.parse("5c0e.0.1.17")
        TaskId(job_id='5c0e', occurrence=0, step=1, index=17)
    """

    job_id: str
    occurrence: int
    step: int
    index: int

    @property
    def step_key(self) -> StepKey:
        """Key of the task's step."""
        return (self.job_id, self.occurrence, self.step)

    def __str__(self) -> str:
        return f"{self.job_id}.{self.occurrence}.{self.step}.{self.index}"

    @staticmethod
    def parse(text: str) -> "TaskId":
        """Returns the id whose `str` is `text`.

        Raises:
            ValueError: `text` is not the id of a task.
        """
        job_id, occurrence, step, index = text.rsplit(".", 3)
        return TaskId(job_id, int(occurrence), int(step), int(index))


@codec.register("batch.run-id")
class RunId(msgspec.Struct, frozen=True, order=True, cache_hash=True, gc=False):
    """The id of one run of a task; runs are numbered from 1."""

    task: TaskId
    number: int

    def __str__(self) -> str:
        return f"{self.task}#{self.number}"


@codec.register("batch.worker")
class Worker(msgspec.Struct, frozen=True):
    """One incarnation of a worker.

    Attributes:
        worker_id: Id of the incarnation; a restarted worker has a new one.
        pool: The service that it works for.
        address: ``host:port`` of its interface.
        domain: Its failure domain.
        capacity: Its total resources.
        labels: Its labels, among them its kind and its rack.
        rack: Its rack, "" if unknown.
        draining: Whether it is draining and accepts no new runs.
        name: The name that calls to it are addressed to, which its next
            incarnation may share; "" if calls are addressed to `worker_id`.
        departing: Whether it has announced its end. It may run on until its
            leases have expired, and nothing renews them.
    """

    worker_id: str
    pool: str
    address: str
    domain: str
    capacity: Resources
    labels: tuple[str, ...] = ()
    rack: str = ""
    draining: bool = False
    name: str = ""
    departing: bool = False

    @property
    def call_name(self) -> str:
        """Name that calls to the worker are addressed to.

        A later incarnation with the same name carries out orders that were
        sent to this one.
        """
        return self.name or self.worker_id


def core_equivalents(needs: Resources) -> float:
    """Returns an amount of resources as a number of cores.

    An accelerator counts for `CORES_PER_ACCELERATOR` cores, and memory does
    not count.

    Examples:
        >>> core_equivalents(Resources(4000, 0, 1))
        12.0
    """
    return needs.cpu_millis / 1000 + CORES_PER_ACCELERATOR * needs.accelerators
