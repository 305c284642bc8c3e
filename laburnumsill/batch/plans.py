"""Input and output of the planner."""

import dataclasses
from collections import abc

from laburnumsill.batch import commands
from laburnumsill.batch import ledger as ledgers
from laburnumsill.batch import model
from laburnumsill.batch import policy as policies
from laburnumsill.batch import units


@dataclasses.dataclass(frozen=True, slots=True)
class PlannerInput:
    """Input of the planner.

    Attributes:
        ledger: The replicated state of jobs, runs and workers.
        usable: Ids of the workers on which runs may be placed.
        stopping: Runs that were ordered to stop and have not ended yet.
        guarantees: Guaranteed accelerators by client account.
        now_ms: Wall time, ms since 1970.
        avoided_workers: Returns the workers that a task should not run on
            again.
        slowness: Returns the run time on a worker relative to other workers.
        reserved_racks: Reserved racks of the previous plan, by gang.
        explain: Returns whether the plan should explain why a unit waits.
        stop_grace_ms: Time within which a run ends after a stop order, in ms.
        headroom: Accelerators that units with slack leave free for urgent jobs.
        step_ms: Returns the expected run time of a step's tasks, in ms.
        policy: The mechanisms in use.
        unheard: Ids of the workers that this leader still expects to hear from
            for the first time.
        restore_ms: Time in which a worker restores progress that was saved at
            a stop, in ms; None if workers save none then.
        steady_ms: Monotonic time, in ms.
        standing_since_ms: When the units that stood in the previous plan began
            to stand, monotonic, in ms.
        is_paused: Returns whether a long-running task may not be started yet.
    """

    ledger: ledgers.BatchLedger
    usable: abc.Set[str]
    stopping: abc.Set[model.RunId]
    guarantees: abc.Mapping[str, int]
    now_ms: int
    avoided_workers: abc.Callable[[model.TaskId], abc.Set[str]] = lambda _: (
        frozenset()
    )
    slowness: abc.Callable[[str], float] = lambda _: 1.0
    reserved_racks: abc.Mapping[model.StepKey, str] = dataclasses.field(
        default_factory=dict
    )
    explain: abc.Callable[[model.StepKey], bool] = lambda _: False
    stop_grace_ms: int = 0
    headroom: int = 0
    step_ms: units.StepMs = units.declared_ms
    policy: policies.Policy = policies.ALL
    unheard: abc.Set[str] = frozenset()
    restore_ms: int | None = None
    steady_ms: int = 0
    standing_since_ms: abc.Mapping[model.StepKey, int] = dataclasses.field(
        default_factory=dict
    )
    is_paused: units.TaskFilter = units.never


@dataclasses.dataclass(slots=True)
class Plan:
    """Output of the planner.

    Attributes:
        groups: Runs to place; a group is placed as a whole or not at all.
        stops: Runs to preempt.
        waiting: Units with tasks that could not be placed.
        reserved_racks: Reserved racks by gang, an input of the next plan.
        obstacles: Why units wait, for the log.
        preempted_for: The preempting job of each run in `stops`, for the log.
        deferred: Units that wait for workers instead of preempting runs.
        standing_since_ms: When the units that stand began to stand, monotonic,
            in ms, see `standing`.
    """

    groups: list[commands.Group]
    stops: list[model.RunId]
    waiting: list[units.Unit]
    reserved_racks: dict[model.StepKey, str] = dataclasses.field(
        default_factory=dict
    )
    obstacles: dict[model.StepKey, str] = dataclasses.field(
        default_factory=dict
    )
    preempted_for: dict[model.RunId, str] = dataclasses.field(
        default_factory=dict
    )
    deferred: list[units.Unit] = dataclasses.field(default_factory=list)
    standing_since_ms: dict[model.StepKey, int] = dataclasses.field(
        default_factory=dict
    )
