"""The third filter: admits requests by class when slots are free.

Every class has a queue. A more urgent class goes first, and a share of the
slots is kept back for it: with `R(u)` the sum of the reserved shares of the
classes more urgent than `u`, the requests of urgency `u` and less urgent
together never use more than `1 - R(u)` of the slots. So a flood of a lower
class can never hold up a higher one.
"""

import dataclasses
from collections import abc

import trio

from laburnumsill.config import models
from laburnumsill.core import clock as clocks
from laburnumsill.core import errors
from laburnumsill.core import metrics as metrics_module
from laburnumsill.requests import messages
from laburnumsill.requests import queues

Capacity = abc.Callable[[str, float], float]
"""Gives the requests that this VM may have in flight at a service when only
a share of all slots may be used."""


CAPACITY_VALID_S = 0.025
"""How long a computed capacity is used, since it takes a look at each server
and is needed several times for each request."""


@dataclasses.dataclass(eq=False, slots=True)
class _Waiting(queues.Waiter):
    """A waiter with the means to wake it.

    Attributes:
        decided: Set when it was admitted or refused.
        refusal: Why it was refused, or None.
    """

    decided: trio.Event = dataclasses.field(default_factory=trio.Event)
    refusal: errors.LaburnumsillError | None = None


class Permit:
    """The right to have one request in flight; give it back once."""

    def __init__(self, release: abc.Callable[[], None]) -> None:
        self._release: abc.Callable[[], None] | None = release

    def release(self) -> None:
        """Gives the slot back; may be called again."""
        release = self._release
        self._release = None
        if release is not None:
            release()


class _ServiceGate:
    """The queues of one service and what it has in flight."""

    def __init__(self) -> None:
        self.queues: dict[str, queues.FairQueue] = {}
        self.classes: dict[str, models.RequestClass] = {}
        self.in_flight: dict[str, int] = {}

    def by_urgency(self) -> list[str]:
        """Returns the classes that wait, the most urgent first."""
        waiting = [name for name, queue in self.queues.items() if queue]
        return sorted(waiting, key=lambda name: self.classes[name].urgency)

    def in_flight_from(self, urgency: int) -> int:
        """Returns what is in flight of `urgency` and less urgent."""
        return sum(
            count
            for name, count in self.in_flight.items()
            if self.classes[name].urgency >= urgency
        )


class Admission:
    """Admits requests to the slots that this VM may use.

    Args:
        capacity: See `Capacity`.
        classes_of: Gives the classes of a service as configured.
        clock: The process's clock.
        metrics: Where waits are counted.
    """

    def __init__(
        self,
        capacity: Capacity,
        classes_of: abc.Callable[[str], dict[str, models.RequestClass]],
        clock: clocks.Clock,
        metrics: metrics_module.Metrics,
    ) -> None:
        self._capacity = capacity
        self._classes_of = classes_of
        self._clock = clock
        self._metrics = metrics
        self._gates: dict[str, _ServiceGate] = {}
        self._room: dict[tuple[str, float], float] = {}
        self._room_valid_until = 0.0
        self._by_account: dict[str, int] = {}

    async def acquire(self, request: messages.RoutedRequest) -> Permit:
        """Waits for a slot.

        Raises:
            errors.NoServerError: There is no server at all.
            errors.OverloadedError: The account's limit or the queue is
                reached, or the wait is over its limit.
            errors.DeadlinePassedError: The request's deadline passed.
        """
        self._check(request)
        gate = self._gate(request.service)
        waiting = _Waiting(request.account, request.weight, request.deadline)
        queue = gate.queues.setdefault(request.class_name, queues.FairQueue())
        queue.push(waiting)
        self._by_account[request.account] = (
            self._by_account.get(request.account, 0) + 1
        )
        try:
            self.admit_waiting(request.service)
            if not waiting.decided.is_set():
                self._make_room(queue, request)
            await self._wait(request, waiting)
        except BaseException:
            if waiting.decided.is_set() and waiting.refusal is None:
                self._leave(request)
            else:
                queue.remove(waiting)
                self._leave_account(request.account)
            raise
        return Permit(lambda: self._leave(request))

    def admit_waiting(self, service: str) -> None:
        """Admits all that may go now."""
        gate = self._gates.get(service)
        if gate is None:
            return
        for name in gate.by_urgency():
            queue = gate.queues[name]
            while queue and self._may_start(service, gate, name):
                waiting = queue.pop()
                assert isinstance(waiting, _Waiting)
                gate.in_flight[name] = gate.in_flight.get(name, 0) + 1
                waiting.decided.set()

    def admit_all_waiting(self) -> None:
        """Admits all that may go now, in every service."""
        for service in list(self._gates):
            self.admit_waiting(service)

    def _check(self, request: messages.RoutedRequest) -> None:
        if self._by_account.get(request.account, 0) >= request.max_in_flight:
            raise errors.OverloadedError(
                f"account {request.account!r} has {request.max_in_flight}"
                " requests in flight here, its most"
            )
        if self._capacity(request.service, 1.0) <= 0:  # now, not lately
            raise errors.NoServerError(
                f"no backend server of {request.service!r} can take requests"
            )

    def _gate(self, service: str) -> _ServiceGate:
        gate = self._gates.get(service)
        if gate is None:
            gate = self._gates[service] = _ServiceGate()
        gate.classes.update(self._classes_of(service))
        return gate

    def _make_room(
        self, queue: queues.FairQueue, request: messages.RoutedRequest
    ) -> None:
        """Refuses one waiter, maybe this one, where the queue is too long."""
        if len(queue) <= request.request_class.max_queued:
            return
        refusal = errors.OverloadedError(
            f"{len(queue) - 1} requests of class {request.class_name!r}"
            " wait here"
        )
        victim = queue.crowding_out(request.account)
        if victim is None:
            raise refusal
        assert isinstance(victim, _Waiting)
        queue.remove(victim)
        victim.refusal = refusal
        victim.decided.set()

    def _may_start(self, service: str, gate: _ServiceGate, name: str) -> bool:
        """Checks the bound of each urgency from the top down to this one."""
        own = gate.classes[name].urgency
        levels = {cls.urgency for cls in gate.classes.values()}
        for level in levels:
            if level > own:
                continue
            reserved = sum(
                cls.reserved_share
                for cls in gate.classes.values()
                if cls.urgency < level
            )
            share = max(0.0, 1.0 - reserved)
            room = self._room_for(service, share)
            least = 1.0 if room > 0 else 0.0
            if gate.in_flight_from(level) + 1 > max(least, room):
                return False
        return True

    def _room_for(self, service: str, share: float) -> float:
        now = self._clock.monotonic()
        if now >= self._room_valid_until:
            self._room.clear()
            self._room_valid_until = now + CAPACITY_VALID_S
        room = self._room.get((service, share))
        if room is None:
            room = self._room[service, share] = self._capacity(service, share)
        return room

    async def _wait(
        self, request: messages.RoutedRequest, waiting: _Waiting
    ) -> None:
        max_wait_s = request.request_class.max_wait_ms / 1000
        until = min(request.arrived + max_wait_s, request.deadline)
        left = until - self._clock.monotonic()
        with trio.move_on_after(max(0.0, left)):
            await waiting.decided.wait()
        if waiting.refusal is not None:
            raise waiting.refusal
        if not waiting.decided.is_set():
            raise errors.OverloadedError(
                f"no slot for class {request.class_name!r} became free in time"
            )
        self._metrics.observe(
            "request_wait_seconds",
            self._clock.monotonic() - request.arrived,
            request_class=request.class_name,
        )

    def _leave(self, request: messages.RoutedRequest) -> None:
        self._gates[request.service].in_flight[request.class_name] -= 1
        self._leave_account(request.account)
        self.admit_waiting(request.service)

    def _leave_account(self, account: str) -> None:
        left = self._by_account[account] - 1
        if left:
            self._by_account[account] = left
        else:
            del self._by_account[account]
