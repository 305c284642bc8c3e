"""Which life of a platform's executor a message is of.

Executors keep their id when they start again and tell their lives apart by
when each began; older ones have a new id each time and do not say that.
"""

import msgspec

from laburnumsill.batch import model
from laburnumsill.batch import worker_client

_SEPARATOR = "@"
"""No id has it."""


def incarnation_id(name: str, born_ms: int | msgspec.UnsetType) -> str:
    """Returns the id of one life.

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
    """Checks that a report is of the life that was asked.

    Raises:
        worker_client.IncarnationReplacedError: Another one has answered.
        worker_client.NoAnswerError: It does not say which one has.
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
