"""What a job is: resources, steps, and the names of tasks and runs."""

import msgspec

from laburnumsill.core import codec


@codec.register("batch.resources")
class Resources(msgspec.Struct, frozen=True, gc=False):
    """An amount of what a worker has and a task needs.

    Attributes:
        cpu_millis: Thousandths of a core.
        memory_mb: Memory in MB.
        accelerators: Whole accelerators.
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

    def fits_in(self, room: "Resources") -> bool:
        """Returns whether this amount is within `room`.

        Examples:
            >>> Resources(1000, 64, 1).fits_in(Resources(1000, 64, 0))
            False
        """
        return (
            self.cpu_millis <= room.cpu_millis
            and self.memory_mb <= room.memory_mb
            and self.accelerators <= room.accelerators
        )

    def least(self, other: "Resources") -> "Resources":
        """Returns what both amounts have of each kind.

        Examples:
            >>> Resources(1000, 64, 2).least(Resources(500, 80, 2))
            Resources(cpu_millis=500, memory_mb=64, accelerators=2)
        """
        return Resources(
            min(self.cpu_millis, other.cpu_millis),
            min(self.memory_mb, other.memory_mb),
            min(self.accelerators, other.accelerators),
        )

    def times_in(self, room: "Resources") -> int:
        """Returns how many such amounts fit into `room` together.

        Examples:
            >>> Resources(1000, 64, 2).times_in(Resources(9000, 640, 8))
            4
            >>> Resources(1000, 64, 0).times_in(Resources(9000, 640, -1))
            0
        """
        # Without calls: the planner asks this for each worker and unit.
        if room.cpu_millis < 0 or room.memory_mb < 0 or room.accelerators < 0:
            return 0
        times = UNBOUNDED
        if self.cpu_millis > 0:
            times = room.cpu_millis // self.cpu_millis
        if self.memory_mb > 0:
            fitting = room.memory_mb // self.memory_mb
            if fitting < times:
                times = fitting
        if self.accelerators > 0:
            fitting = room.accelerators // self.accelerators
            if fitting < times:
                times = fitting
        return times


UNBOUNDED = 1_000_000
"""How often a task that needs nothing fits into anything."""

CORES_PER_ACCELERATOR = 8
"""What an accelerator counts for where work is weighed in cores; the users'
price list counts it so."""


@codec.register("batch.step")
class Step(msgspec.Struct, frozen=True):
    """Tasks of one kind within a job.

    Attributes:
        tasks: How many tasks there are.
        needs: What each of them needs.
        estimated_ms: The submitter's guess of a task's run time, in ms; it
            may be far off.
        depends_on: Numbers of the earlier steps that must be done before.
        gang: Whether the tasks only work all together.
        same_rack: Whether they are much slower on more than one rack.
        data_rack: The rack that holds their data, "" for none; elsewhere
            they are much slower.
        required_label: The label that their workers must have, or "".
        max_per_worker: At most so many of an occurrence's tasks run on one
            worker, 0 for any number.
        speculative: Whether a second copy of a task may run.
        saves_progress: Whether a later run can go on from saved progress.
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
    def tells_speed(self) -> bool:
        """Whether what one of its tasks takes tells of the worker.

        That of a gang is its slowest member's; one far from its data takes
        longer anywhere.
        """
        return not self.gang and not self.data_rack


@codec.register("batch.queue-terms")
class QueueTerms(msgspec.Struct, frozen=True):
    """What a job's queue promised when the job was accepted.

    Attributes:
        pool: The service whose workers run the tasks.
        priority: 0 goes first and may stop others.
        max_attempts: A task that failed so often fails its job.
        stretch: The objective is this multiple of the longest chain of work,
            plus `target_ms`.
        target_ms: In ms.
    """

    pool: str
    priority: int
    max_attempts: int
    stretch: float = 1.0
    target_ms: int = 0


@codec.register("batch.job")
class Job(msgspec.Struct, frozen=True):
    """A job as it was submitted.

    Attributes:
        job_id: Chosen by the submitter, unique in the site.
        queue: The name of its queue.
        account: The client account, "" where the queue needs none.
        payload: Passed on to the workers unread.
        steps: In their order.
        terms: Of its queue.
        repeat_count: How many occurrences there are; 0 for one that is due
            at once.
        first_due_ms: When occurrence 0 is due, ms since 1970.
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
        """How many times the steps run."""
        return max(1, self.repeat_count)

    def due_ms(self, occurrence: int) -> int:
        """Returns when an occurrence is due, ms since 1970; 0 for at once."""
        if not self.repeat_count:
            return 0
        return self.first_due_ms + occurrence * self.interval_ms


StepKey = tuple[str, int, int]
"""Job, occurrence and step: names one step of one occurrence among all."""


@codec.register("batch.task-id")
class TaskId(
    msgspec.Struct, frozen=True, order=True, cache_hash=True, gc=False
):
    """The name of one task.

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
        """Names the task's step among all."""
        return (self.job_id, self.occurrence, self.step)

    def __str__(self) -> str:
        return f"{self.job_id}.{self.occurrence}.{self.step}.{self.index}"

    @staticmethod
    def parse(text: str) -> "TaskId":
        """Returns the task that `str` wrote as `text`.

        Raises:
            ValueError: `text` is no such name.
        """
        job_id, occurrence, step, index = text.rsplit(".", 3)
        return TaskId(job_id, int(occurrence), int(step), int(index))


@codec.register("batch.run-id")
class RunId(msgspec.Struct, frozen=True, order=True, cache_hash=True, gc=False):
    """One run of a task; runs are numbered from 1."""

    task: TaskId
    number: int

    def __str__(self) -> str:
        return f"{self.task}#{self.number}"


@codec.register("batch.worker")
class Worker(msgspec.Struct, frozen=True):
    """One incarnation of a worker.

    Attributes:
        worker_id: New for each incarnation.
        pool: The service that it works for.
        address: ``host:port`` of its interface.
        domain: Its failure domain.
        capacity: What it has in all.
        labels: Its kind and its rack among them.
        rack: The rack it stands in, "" if unknown.
        draining: Whether it is about to leave.
        name: What calls to it are addressed to, if its next incarnation may
            have the same; "" if that is its id.
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

    @property
    def call_name(self) -> str:
        """What calls to it are addressed to.

        Another incarnation of this name carries out orders that were meant
        for this one.
        """
        return self.name or self.worker_id


def weight(needs: Resources) -> float:
    """Returns the cores that an amount counts for.

    Examples:
        >>> weight(Resources(4000, 0, 1))
        12.0
    """
    return needs.cpu_millis / 1000 + CORES_PER_ACCELERATOR * needs.accelerators
