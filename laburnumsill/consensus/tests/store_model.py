"""What a replica's store has to hold, change by change."""

import dataclasses
from collections import abc

from laburnumsill.consensus import store
from laburnumsill.consensus import types


def last_index(stored: types.Stored) -> int:
    """Returns the index of the last entry, or the snapshot's."""
    if stored.entries:
        return stored.entries[-1].index
    return stored.snapshot.index if stored.snapshot else 0


def same(found: types.Stored, wanted: types.Stored) -> bool:
    """Returns whether two stores hold the same, whoever wrote them."""
    return (found.hard_state, found.snapshot, found.entries) == (
        wanted.hard_state,
        wanted.snapshot,
        wanted.entries,
    )


def states(
    stored: types.Stored, changes: abc.Iterable[store.Change]
) -> list[types.Stored]:
    """Returns what may be found on the way through changes, in their order.

    The first is the store before them, the last the one after them.
    """
    found = [stored]
    for change in changes:
        if change.hard_state is not None:
            found.append(_with(found[-1], hard_state=change.hard_state))
        if change.snapshot is not None:
            found.append(_after_snapshot(found[-1], change))
        for entry in change.entries:
            found.append(_after_entry(found[-1], entry))
    return found


def _after_snapshot(stored: types.Stored, change: store.Change) -> types.Stored:
    tail = tuple(e for e in stored.entries if e.index > change.snapshot.index)
    kept = tail if change.keep_tail else ()
    return _with(stored, snapshot=change.snapshot, entries=kept)


def _after_entry(stored: types.Stored, entry: types.Entry) -> types.Stored:
    kept = tuple(e for e in stored.entries if e.index < entry.index)
    return _with(stored, entries=(*kept, entry))


def _with(stored: types.Stored, **changed: object) -> types.Stored:
    return dataclasses.replace(stored, **changed)
