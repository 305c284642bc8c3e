"""Estimates that every replica derives from the commands of its ledger."""

from laburnumsill.batch import ledger as ledgers
from laburnumsill.batch import run_times
from laburnumsill.batch import worker_speeds


class LedgerEstimates:
    """Estimates of worker speeds and of run times.

    Args:
        ledger: The ledger to which the commands are applied.

    Attributes:
        speeds: Relative run times of workers.
        times: Expected run times of tasks.
    """

    def __init__(self, ledger: ledgers.BatchLedger) -> None:
        self.speeds = worker_speeds.WorkerSpeeds(ledger)
        self.times = run_times.RunTimes(ledger)

    def observe(self, command: object) -> None:
        """Updates the estimates after a command was applied to the ledger."""
        self.speeds.observe(command)
        self.times.observe(command)
