"""A model of the state that a replica's store must hold after each change."""

import dataclasses
from collections import abc

from laburnumsill.consensus import store
from laburnumsill.consensus import types


def last_index(stored: types.StoredState) -> int:
    """Returns the index of the last entry, else that of the snapshot."""
    if stored.entries:
        return stored.entries[-1].index
    return stored.snapshot.index if stored.snapshot else 0


def same(left: types.StoredState, right: types.StoredState) -> bool:
    """Returns whether two states are equal apart from their incarnations."""
    return (left.hard_state, left.snapshot, left.entries) == (
        right.hard_state,
        right.snapshot,
        right.entries,
    )


def states(
    stored: types.StoredState, changes: abc.Iterable[store.Change]
) -> list[types.StoredState]:
    """Returns the states from `stored` on through each record of `changes`.

    A commit of `changes` that is interrupted may leave any of them. The first
    is `stored`, the last is the state after a complete commit.
    """
    reached = [stored]
    for change in changes:
        if change.hard_state is not None:
            reached.append(_with(reached[-1], hard_state=change.hard_state))
        if change.snapshot is not None:
            reached.append(_after_snapshot(reached[-1], change))
        for entry in change.entries:
            reached.append(_after_entry(reached[-1], entry))
    return reached


def _after_snapshot(
    stored: types.StoredState, change: store.Change
) -> types.StoredState:
    tail = tuple(e for e in stored.entries if e.index > change.snapshot.index)
    kept = tail if change.keep_tail else ()
    return _with(stored, snapshot=change.snapshot, entries=kept)


def _after_entry(
    stored: types.StoredState, entry: types.Entry
) -> types.StoredState:
    kept = tuple(e for e in stored.entries if e.index < entry.index)
    return _with(stored, entries=(*kept, entry))


def _with(stored: types.StoredState, **fields: object) -> types.StoredState:
    return dataclasses.replace(stored, **fields)
