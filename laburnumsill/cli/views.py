"""What a table shows of an answer; JSON output shows all of it."""

import typing

Record = dict[str, typing.Any]

_REPLICA_FIELDS = (
    "group",
    "vm",
    "role",
    "term",
    "leader",
    "voters",
    "learners",
    "committed",
    "applied",
    "store",
)
_JOB_FIELDS = (
    "job_id",
    "account",
    "state",
    "reason",
    "tasks",
    "accelerators",
    "workers",
    "submitted_at",
    "started_at",
    "ended_at",
)
_USE_FIELDS = ("guaranteed", "borrowed", "queued", "running")


def replica(record: Record) -> Record:
    """Returns what a table shows of a replica."""
    return _picked(record, _REPLICA_FIELDS)


def job(record: Record) -> Record:
    """Returns what a table shows of a job in a list."""
    return _picked({**record.get("spec", {}), **record}, _JOB_FIELDS)


def whole_job(record: Record) -> Record:
    """Returns a job with what was submitted among its own fields."""
    rest = {name: value for name, value in record.items() if name != "spec"}
    return {**record.get("spec", {}), **rest}


def account(record: Record) -> list[Record]:
    """Returns a line for each failure domain of an account.

    Examples:
        >>> entry = {"guarantee": {"racks": 1, "pairs": 0}, "shortfall": 0}
        >>> account({"name": "a", "domains": {"north": entry}})[0]["guarantee"]
        '1 racks'
    """
    return [
        {
            "name": record.get("name"),
            "domain": domain,
            "guarantee": _shape(entry.get("guarantee", {})),
            **{name: entry.get("use", {}).get(name) for name in _USE_FIELDS},
            "shortfall": entry.get("shortfall"),
        }
        for domain, entry in sorted(record.get("domains", {}).items())
    ]


def accounts(records: list[Record]) -> list[Record]:
    """Returns the lines of several accounts."""
    return [line for record in records for line in account(record)]


def _shape(guarantee: Record) -> str:
    return ", ".join(
        f"{number} {cell}" for cell, number in guarantee.items() if number
    )


def _picked(record: Record, names: typing.Iterable[str]) -> Record:
    return {name: record[name] for name in names if name in record}
