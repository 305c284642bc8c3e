"""What workers report of the use of their tasks, some time after the fact."""

import dataclasses
from collections import abc


@dataclasses.dataclass(frozen=True, slots=True)
class TaskUsage:
    """The use of one task.

    Attributes:
        task_id: The task.
        job_id: The job that it is part of.
        epoch: Fencing epoch of its placement.
        state: Its state, such as ``running``.
        cores: Processor cores in use.
        memory_gb: Memory in use, in GB.
        accelerators: Accelerators in use.
    """

    task_id: str
    job_id: str
    epoch: int
    state: str
    cores: float
    memory_gb: float
    accelerators: float


@dataclasses.dataclass(frozen=True, slots=True)
class UsageReport:
    """The use of all tasks of one worker.

    Attributes:
        worker_id: The worker.
        incarnation: Its incarnation.
        measured_at: When it was measured, wall time.
        tasks: Its live tasks.
    """

    worker_id: str
    incarnation: str
    measured_at: float
    tasks: tuple[TaskUsage, ...]


UsageHandler = abc.Callable[[UsageReport], abc.Awaitable[None]]
