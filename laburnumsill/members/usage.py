"""Reports of workers on the resource usage of their tasks.

Reports arrive some time after the measurement.
"""

import dataclasses
from collections import abc


@dataclasses.dataclass(frozen=True, slots=True)
class TaskUsage:
    """Resource usage of one task.

    Attributes:
        task_id: The task.
        job_id: The job of the task.
        epoch: Fencing epoch of the placement of the task.
        state: State of the task, such as ``running``.
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
    """Resource usage of all tasks of one worker.

    Attributes:
        worker_id: The worker.
        incarnation: Incarnation of the worker.
        measured_at: Wall time of the measurement.
        tasks: Usage of each live task.
    """

    worker_id: str
    incarnation: str
    measured_at: float
    tasks: tuple[TaskUsage, ...]


UsageHandler = abc.Callable[[UsageReport], abc.Awaitable[None]]
