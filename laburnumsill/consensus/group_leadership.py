"""Tracking of the leadership of a hosted replica."""

import trio

from laburnumsill.consensus import engine as engines
from laburnumsill.core import logs


class LeadershipState:
    """The leadership of one replica, or none, and its term; logs the changes.

    Args:
        group: The name of the group.
    """

    def __init__(self, group: str) -> None:
        self._group = group
        self._term = 0
        self._has_committed = False
        self._failed_campaigns = 0
        self._ended_event = trio.Event()

    async def wait_ended(self) -> None:
        """Waits until the leadership has ended; returns at once without it."""
        if self._term:
            await self._ended_event.wait()

    def update(self, engine: engines.Engine) -> bool:
        """Records and logs changes since the last call.

        Returns:
            Whether a leadership has ended since then.
        """
        self._log_failed_campaign(engine)
        ended = False
        term = engine.term if engine.role == "leader" else 0
        if term != self._term:
            ended = bool(self._term)
            self._on_change(term, engine)
        if term and engine.has_committed_in_term and not self._has_committed:
            self._has_committed = True
            logs.event(
                "group-lead-confirmed",
                group=self._group,
                term=term,
                committed=engine.committed,
            )
        return ended

    def _log_failed_campaign(self, engine: engines.Engine) -> None:
        """Logs a campaign that failed; without a leader nothing else would."""
        failed = engine.failed_campaigns
        if failed > self._failed_campaigns:
            logs.event(
                "group-campaign-failed",
                "WARNING",
                group=self._group,
                term=engine.term,
                in_a_row=failed,
            )
        self._failed_campaigns = failed

    def _on_change(self, term: int, engine: engines.Engine) -> None:
        if self._term:
            self._ended_event.set()
            self._ended_event = trio.Event()
        self._term = term
        self._has_committed = False
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
