"""Scheduler of the jobs in a ledger; active on the VM that leads its group.

While this VM leads, it runs a `leading.LeadingTerm`. On every VM the scheduler
observes the commands that its replica applies, to estimate worker speeds and
run times.
"""

import trio

from laburnumsill.batch import caller_commands
from laburnumsill.batch import commands
from laburnumsill.batch import last_leader
from laburnumsill.batch import leading
from laburnumsill.batch import ledger as ledgers
from laburnumsill.batch import ledger_estimates
from laburnumsill.core import errors
from laburnumsill.core import logs
from laburnumsill.core import replication


class Scheduler:
    """Schedules the jobs of one ledger while this VM leads its group.

    Args:
        context: Dependencies of the scheduler.
    """

    def __init__(self, context: leading.SchedulerContext) -> None:
        self._context = context
        self._group = context.group
        self._groups = context.groups
        self._term: leading.LeadingTerm | None = None
        self._history: ledger_estimates.LedgerEstimates | None = None
        self._last_leader = last_leader.LastKnownLeader()
        self._applied = trio.Event()
        self._last_fence = 0

    async def run(self) -> None:
        """Runs a term whenever this VM leads, until cancelled."""
        while True:
            if self._groups.leads(self._group):
                await self._run_term()
            else:
                self._last_leader.observe(
                    self._groups.leader(self._group),
                    self._context.clock.monotonic(),
                )
            await trio.sleep(leading.LEADERSHIP_POLL_S)

    def observe_heartbeat(
        self,
        worker_id: str,
        clock_ms: int | None,
        time_left_ms: int | None = None,
    ) -> None:
        """Passes a heartbeat to the term, if this VM leads.

        Args:
            worker_id: The worker's id.
            clock_ms: The worker's clock when it sent the heartbeat, or None.
            time_left_ms: Time for which a draining worker certainly stays, in
                ms, or None.
        """
        if self._term is not None:
            self._term.observe_heartbeat(worker_id, clock_ms, time_left_ms)

    def observe_machine(self, machine: replication.StateMachine) -> None:
        """Observes all commands that a replica's state machine applies.

        Called before the first command, so that a new leader has the same
        estimates as earlier leaders had.
        """
        ledger = machine.component(ledgers.BatchLedger.name)
        history = ledger_estimates.LedgerEstimates(ledger)
        self._history = history
        machine.observe(history.observe)
        machine.observe(self.on_command)

    async def wait_for_command(self) -> None:
        """Waits until the next command is applied to the ledger."""
        await self._applied.wait()

    def on_command(self, command: object) -> None:
        """Requests a plan after a command that can affect planning."""
        self._applied.set()
        self._applied = trio.Event()
        if self._term is not None and not isinstance(
            command, commands.NoteRunning
        ):
            self._term.request_plan()

    async def _run_term(self) -> None:
        fence = self._groups.term(self._group)
        ledger = await self._confirmed_ledger()
        if ledger is None or self._groups.term(self._group) != fence:
            return
        self._term = leading.LeadingTerm(
            self._context,
            ledger,
            fence,
            self._history or ledger_estimates.LedgerEstimates(ledger),
            self._last_leader.known_at,
            repeats_fence=fence == self._last_fence,
        )
        self._last_fence = fence
        logs.event("scheduler-started", group=self._group, fence=fence)
        try:
            await self._term.run()
        finally:
            self._term = None
            logs.event("scheduler-stopped", group=self._group, fence=fence)

    async def _confirmed_ledger(self) -> ledgers.BatchLedger | None:
        """Returns the ledger with all commands of earlier leaders applied.

        None if leadership could not be confirmed.
        """
        deadline = self._context.clock.monotonic() + leading.COMMIT_TIMEOUT_S
        try:
            await self._groups.query(
                self._group, caller_commands.PendingQuery(""), deadline
            )
        except errors.LaburnumsillError as error:
            logs.event("lead-not-confirmed", "WARNING", reason=error.slug)
            return None
        machine = self._groups.local_state_machine(self._group)
        if machine is None or not self._groups.leads(self._group):
            return None
        ledger: ledgers.BatchLedger = machine.component(
            ledgers.BatchLedger.name
        )
        return ledger
