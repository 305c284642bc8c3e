"""Records of a domain's workers, with the free capacity of each."""

import dataclasses
import functools
from collections import abc

from laburnumsill.core import members
from laburnumsill.state import jobs_messages


@dataclasses.dataclass(slots=True)
class JobShare:
    """One job's share of a worker.

    Attributes:
        mask: Accelerators that the job has, bit i for accelerator i.
        count: Number of its tasks.
    """

    mask: int = 0
    count: int = 0


@dataclasses.dataclass(slots=True)
class WorkerRecord:
    """A worker with its use, its reservations and its health.

    Attributes:
        announced: The worker's latest announcement.
        used_mask: Accelerators in use, bit i for accelerator i.
        used_cores: Cores in use.
        used_memory_gb: Memory in use.
        gone: Whether the worker has left or was lost; its record is kept
            while a placement on it may still run.
        tasks: The share of each job that is placed on the worker, by job id.
        holds: Mask of the accelerators reserved for each job, by job id.
        held_mask: All reserved accelerators.
        held_cores: Reserved cores.
        held_memory_gb: Reserved memory.
        failed_jobs: Jobs that failed on the worker since its last success.
        aside_until: Wall time at which its quarantine ends, 0 without one.
        asides: Number of consecutive quarantines, at most 16.
    """

    announced: members.Worker
    used_mask: int = 0
    used_cores: int = 0
    used_memory_gb: int = 0
    gone: bool = False
    tasks: dict[str, JobShare] = dataclasses.field(default_factory=dict)
    holds: dict[str, int] = dataclasses.field(default_factory=dict)
    held_mask: int = 0
    held_cores: int = 0
    held_memory_gb: int = 0
    failed_jobs: list[str] = dataclasses.field(default_factory=list)
    aside_until: float = 0.0
    asides: int = 0

    @property
    def usable(self) -> bool:
        """Whether the worker may get new tasks."""
        return not (self.gone or self.announced.leaving or self.aside_until)

    @property
    def full_mask(self) -> int:
        """Mask of all accelerators of the worker."""
        return (1 << self.announced.accelerators) - 1

    @property
    def free_mask(self) -> int:
        """Mask of the accelerators neither in use nor reserved."""
        return self.full_mask & ~(self.used_mask | self.held_mask)

    @property
    def free_cores(self) -> int:
        """The cores neither in use nor reserved."""
        return self.announced.cores - self.used_cores - self.held_cores

    @property
    def free_memory_gb(self) -> int:
        """The memory in GB neither in use nor reserved."""
        own = self.announced.memory_gb
        return own - self.used_memory_gb - self.held_memory_gb

    def room(self, spec: jobs_messages.JobSpec) -> int:
        """Returns how many tasks of `spec` fit into the free capacity.

        The result does not depend on whether the worker is usable.
        """
        own = self.announced
        free = (1 << own.accelerators) - 1 & ~(self.used_mask | self.held_mask)
        return _task_count(
            spec,
            free.bit_count(),
            own.cores - self.used_cores - self.held_cores,
            own.memory_gb - self.used_memory_gb - self.held_memory_gb,
        )

    def footprint(self, spec: jobs_messages.JobSpec) -> int:
        """Returns the accelerators that a task occupies on this worker.

        A guaranteed task occupies at least the accelerators that its cores
        and memory are proportional to, so that the other cells of the worker
        keep their share of cores and memory.
        """
        if not spec.guaranteed:
            return spec.accelerators
        own = self.announced
        by_cores = _ceil_div(spec.cores * own.accelerators, own.cores)
        by_memory = _ceil_div(spec.memory_gb * own.accelerators, own.memory_gb)
        return max(spec.accelerators, by_cores, by_memory)

    def size(self, spec: jobs_messages.JobSpec) -> int:
        """Returns how many tasks of `spec` fit on the worker when empty."""
        own = self.announced
        return _task_count(spec, own.accelerators, own.cores, own.memory_gb)


def _task_count(
    spec: jobs_messages.JobSpec, accelerators: int, cores: int, memory_gb: int
) -> int:
    count = jobs_messages.MAX_TASKS
    if spec.accelerators:
        count = min(count, accelerators // spec.accelerators)
    if spec.cores:
        count = min(count, cores // spec.cores)
    if spec.memory_gb:
        count = min(count, memory_gb // spec.memory_gb)
    return max(0, count)


def _ceil_div(dividend: int, divisor: int) -> int:
    return -(-dividend // divisor) if divisor else 0


@functools.lru_cache(maxsize=65_536)
def choose_mask(free: int, count: int) -> int:
    """Returns `count` of the free accelerators by best fit (buddy blocks).

    Blocks are aligned pairs, fours and eights. The accelerators chosen are
    those whose enclosing free block is smallest, so that few large free
    blocks are split.

    Args:
        free: Mask of the free accelerators.
        count: Number of accelerators to choose, at most the free ones.

    Examples:
        >>> bin(choose_mask(0b11110111, 1))
        '0b100'
        >>> bin(choose_mask(0b11110110, 2))
        '0b110000'
    """
    size = 1 << max(0, count - 1).bit_length()
    if size == count and count > 1:
        free_blocks = [b for b in _blocks(free, size) if b]
        if free_blocks:
            return min(free_blocks, key=lambda b: (_enclosing(free, b), b))
    bits = [1 << i for i in range(free.bit_length()) if free >> i & 1]
    bits.sort(key=lambda bit: (_enclosing(free, bit), bit))
    return sum(bits[:count])


def _blocks(free: int, size: int) -> abc.Iterator[int]:
    """Yields the mask of each aligned block of `size` that is all free."""
    block = (1 << size) - 1
    while block <= free:
        if free & block == block:
            yield block
        block <<= size


def _enclosing(free: int, part: int) -> int:
    """Returns the size of the largest aligned free block around `part`."""
    size = 1
    best = part.bit_count()
    low = (part & -part).bit_length() - 1
    while size <= free.bit_length():
        size *= 2
        start = low // size * size
        block = ((1 << size) - 1) << start
        if free & block != block or part & ~block:
            continue
        best = size
    return best
