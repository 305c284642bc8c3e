"""Selection of the fields that tables show; JSON output has all fields."""

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
    """Returns the table fields of a replica."""
    return _select(record, _REPLICA_FIELDS)


def job(record: Record) -> Record:
    """Returns the table fields of a job in a list."""
    return _select({**record.get("spec", {}), **record}, _JOB_FIELDS)


def job_details(record: Record) -> Record:
    """Returns all fields of a job, with those of its specification inlined."""
    other = {name: value for name, value in record.items() if name != "spec"}
    return {**record.get("spec", {}), **other}


def account(record: Record) -> list[Record]:
    """Returns a table row for each failure domain of an account.

    Examples:
        >>> entry = {"guarantee": {"racks": 1, "pairs": 0}, "shortfall": 0}
        >>> account({"name": "a", "domains": {"north": entry}})[0]["guarantee"]
        '1 racks'
    """
    return [
        {
            "name": record.get("name"),
            "domain": domain,
            "guarantee": _guarantee_text(entry.get("guarantee", {})),
            **{name: entry.get("use", {}).get(name) for name in _USE_FIELDS},
            "shortfall": entry.get("shortfall"),
        }
        for domain, entry in sorted(record.get("domains", {}).items())
    ]


def accounts(records: list[Record]) -> list[Record]:
    """Returns the table rows of several accounts."""
    return [row for record in records for row in account(record)]


def _guarantee_text(guarantee: Record) -> str:
    return ", ".join(
        f"{number} {cell}" for cell, number in guarantee.items() if number
    )


def _select(record: Record, names: typing.Iterable[str]) -> Record:
    return {name: record[name] for name in names if name in record}
