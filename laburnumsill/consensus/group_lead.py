"""What a hosted replica tells of its lead: won, confirmed, ended."""

import trio

from laburnumsill.consensus import engine as engines
from laburnumsill.core import logs


class Lead:
    """The lead of one replica, if it has it.

    Args:
        group: The group's name.
    """

    def __init__(self, group: str) -> None:
        self._group = group
        self._term = 0
        self._confirmed = False
        self._ended = trio.Event()

    async def until_ended(self) -> None:
        """Waits until the lead was lost or handed over."""
        if self._term:
            await self._ended.wait()

    def note(self, engine: engines.Engine) -> bool:
        """Notes and logs what has changed; returns if a lead was lost."""
        lost = False
        term = engine.term if engine.role == "leader" else 0
        if term != self._term:
            lost = bool(self._term)
            self._change(term, engine)
        if term and engine.leads_committed and not self._confirmed:
            self._confirmed = True
            logs.event(
                "group-lead-confirmed",
                group=self._group,
                term=term,
                committed=engine.committed,
            )
        return lost

    def _change(self, term: int, engine: engines.Engine) -> None:
        if self._term:
            self._ended.set()
            self._ended = trio.Event()
        self._term = term
        self._confirmed = False
        membership = engine.membership
        logs.event(
            "group-lead",
            group=self._group,
            role=engine.role,
            term=engine.term,
            last=engine.last_index,
            voters=",".join(voter.vm for voter in membership.voters),
            disks=",".join(sorted(membership.with_disk)),
        )
