"""Incarnations of the platform's executors.

Executors keep their id across restarts, and the start time distinguishes their
incarnations. Older executors use a new id for each start and send no start
time.
"""

import msgspec

from laburnumsill.batch import model
from laburnumsill.batch import worker_client

_SEPARATOR = "@"
"""Character that does not occur in the ids of workers."""


def incarnation_id(name: str, born_ms: int | msgspec.UnsetType) -> str:
    """Returns the id of an incarnation of a worker.

    Examples:
        >>> incarnation_id("i-7", 1700000000000)
        'i-7@1700000000000'
        >>> incarnation_id("i-7", msgspec.UNSET)
        'i-7'
    """
    if born_ms is msgspec.UNSET:
        return name
    return f"{name}{_SEPARATOR}{born_ms}"


def check_reporter(
    worker: model.Worker, born_ms: int | msgspec.UnsetType
) -> None:
    """Checks that a report comes from the incarnation that was queried.

    Raises:
        worker_client.IncarnationReplacedError: Another incarnation answered.
        worker_client.NoAnswerError: The report lacks the start time that
            identifies the incarnation.
    """
    if worker.name and born_ms is msgspec.UNSET:
        raise worker_client.NoAnswerError(
            f"{worker.worker_id}: a report that does not say when its sender"
            " started"
        )
    answered = incarnation_id(worker.call_name, born_ms)
    if answered != worker.worker_id:
        raise worker_client.IncarnationReplacedError(
            f"{answered} has answered for {worker.worker_id}"
        )
