"""What a scheduler learns from the commands of its ledger, whoever leads."""

from laburnumsill.batch import ledger as ledgers
from laburnumsill.batch import run_times
from laburnumsill.batch import worker_speeds


class Learnt:
    """Speeds of workers and run times of tasks.

    Args:
        ledger: The ledger that the commands are applied to.

    Attributes:
        speeds: How fast workers are.
        times: How long tasks take.
    """

    def __init__(self, ledger: ledgers.BatchLedger) -> None:
        self.speeds = worker_speeds.WorkerSpeeds(ledger)
        self.times = run_times.RunTimes(ledger)

    def take(self, command: object) -> None:
        """Takes note of a command that was applied to the ledger."""
        self.speeds.take(command)
        self.times.take(command)
