"""Record of what a soak did to which VM, and when."""

import dataclasses
import math

import trio

CONTACT_S = 3.0
"""Time after an unplanned disruption in which a VM may lose calls, as the
users define it."""


@dataclasses.dataclass(slots=True)
class Touch:
    """A trouble at a VM.

    Attributes:
        vm: The VM.
        trouble: The name of the trouble.
        is_planned: Whether it is planned work, which excuses no lost call.
        began_at: Time of its beginning.
        ended_at: Time of its end, infinity before.
    """

    vm: str
    trouble: str
    is_planned: bool
    began_at: float
    ended_at: float = math.inf


class Touches:
    """The troubles at all VMs."""

    def __init__(self) -> None:
        self._touches: list[Touch] = []

    def begin(self, vm: str, trouble: str, is_planned: bool) -> Touch:
        """Records a trouble that begins now."""
        touch = Touch(vm, trouble, is_planned, trio.current_time())
        self._touches.append(touch)
        return touch

    def disrupted(self, began_at: float, ended_at: float) -> set[str]:
        """Returns the VMs with an unplanned trouble during or before a call."""
        return {
            one.vm
            for one in self._touches
            if not one.is_planned
            and one.began_at <= ended_at
            and one.ended_at >= began_at - CONTACT_S
        }

    def planned_before(self, vm: str, at: float) -> list[str]:
        """Returns the planned work at a VM that was not over long before."""
        return [
            f"{one.trouble} {at - one.began_at:.2f} s before"
            for one in self._touches
            if one.is_planned
            and one.vm == vm
            and one.began_at <= at <= one.ended_at + CONTACT_S
        ]
