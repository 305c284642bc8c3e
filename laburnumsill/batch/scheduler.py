"""Schedules the jobs of a ledger where its group is led.

While this VM leads, a term runs (`leading`). On every VM the scheduler follows
the commands of its replica, to learn how fast workers are.
"""

import trio

from laburnumsill.batch import caller_commands
from laburnumsill.batch import commands
from laburnumsill.batch import last_lead
from laburnumsill.batch import leading
from laburnumsill.batch import learnt as learnt_module
from laburnumsill.batch import ledger as ledgers
from laburnumsill.core import errors
from laburnumsill.core import logs
from laburnumsill.core import replication


class Scheduler:
    """Schedules the jobs of one ledger while this VM leads its group.

    Args:
        context: What it works with.
    """

    def __init__(self, context: leading.Context) -> None:
        self._context = context
        self._group = context.group
        self._groups = context.groups
        self._term: leading.LeadingTerm | None = None
        self._learnt: learnt_module.Learnt | None = None
        self._last_lead = last_lead.LastLead()

    async def run(self) -> None:
        """Runs a term whenever this VM leads, until cancelled."""
        while True:
            if self._groups.leads(self._group):
                await self._run_term()
            else:
                self._last_lead.look(
                    self._groups.leader(self._group),
                    self._context.clock.monotonic(),
                )
            await trio.sleep(leading.LEAD_POLL_S)

    def hear(self, worker_id: str, clock_ms: int | None) -> None:
        """Passes a heartbeat to the term, if one runs.

        Args:
            worker_id: The worker.
            clock_ms: Its clock when it sent the heartbeat, or None.
        """
        if self._term is not None:
            self._term.hear(worker_id, clock_ms)

    def follow(self, machine: replication.StateMachine) -> None:
        """Hears of all commands of a replica's state machine.

        Called before the first of them, so that a leader knows what earlier
        leaders could know.
        """
        ledger = machine.component(ledgers.BatchLedger.name)
        learnt = learnt_module.Learnt(ledger)
        self._learnt = learnt
        machine.observe(learnt.take)
        machine.observe(self.notice)

    def notice(self, command: object) -> None:
        """Notices that a command was applied; it may call for a plan."""
        if self._term is not None and not isinstance(
            command, commands.NoteRunning
        ):
            self._term.wake()

    async def _run_term(self) -> None:
        fence = self._groups.term(self._group)
        ledger = await self._confirmed_ledger()
        if ledger is None or self._groups.term(self._group) != fence:
            return
        self._term = leading.LeadingTerm(
            self._context,
            ledger,
            fence,
            self._learnt or learnt_module.Learnt(ledger),
            self._last_lead.known_at,
        )
        logs.event("scheduler-started", group=self._group, fence=fence)
        try:
            await self._term.run()
        finally:
            self._term = None
            logs.event("scheduler-stopped", group=self._group, fence=fence)

    async def _confirmed_ledger(self) -> ledgers.BatchLedger | None:
        """Returns the ledger once all that earlier leaders did is in it."""
        deadline = self._context.clock.monotonic() + leading.COMMIT_WITHIN_S
        try:
            await self._groups.query(
                self._group, caller_commands.PendingQuery(""), deadline
            )
        except errors.LaburnumsillError as error:
            logs.event("lead-not-confirmed", "WARNING", reason=error.slug)
            return None
        machine = self._groups.local(self._group)
        if machine is None or not self._groups.leads(self._group):
            return None
        ledger: ledgers.BatchLedger = machine.component(
            ledgers.BatchLedger.name
        )
        return ledger
