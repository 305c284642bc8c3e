"""The admission filter: admission control with priorities and load shedding.

Each class of a service has a queue. More urgent classes are admitted first,
and a share of the slots is reserved for them: with `R(u)` the sum of the
reserved shares of the classes more urgent than `u`, the requests of urgency
`u` and of less urgent classes together never use more than `1 - R(u)` of the
slots. A flood of requests of a less urgent class therefore cannot delay a
more urgent one.
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
"""Returns this VM's concurrency limit for a service (first argument) if only
a share of all slots (second argument) may be used."""

CAPACITY_CACHE_S = 0.025
"""Time for which computed capacities are cached: computing one visits each
server, and each request needs several."""


@dataclasses.dataclass(eq=False, slots=True)
class _AdmissionWaiter(queues.Waiter):
    """A queued request and its admission decision.

    Attributes:
        decided: Set when the request is admitted or rejected.
        rejection: The error if it was rejected, else None.
    """

    decided: trio.Event = dataclasses.field(default_factory=trio.Event)
    rejection: errors.LaburnumsillError | None = None


class Permit:
    """The right to have one request in flight; holders must release it."""

    def __init__(self, release: abc.Callable[[], None]) -> None:
        self._release: abc.Callable[[], None] | None = release

    def release(self) -> None:
        """Releases the slot; idempotent."""
        release = self._release
        self._release = None
        if release is not None:
            release()


class _ServiceState:
    """The queues and in-flight counts of one service, by class."""

    def __init__(self) -> None:
        self.queues: dict[str, queues.FairQueue] = {}
        self.classes: dict[str, models.RequestClass] = {}
        self.in_flight: dict[str, int] = {}

    def waiting_classes(self) -> list[str]:
        """Returns the classes with queued requests, the most urgent first."""
        names = [name for name, queue in self.queues.items() if queue]
        return sorted(names, key=lambda name: self.classes[name].urgency)

    def in_flight_at_or_below(self, urgency: int) -> int:
        """Returns the requests in flight of `urgency` and less urgent ones."""
        return sum(
            count
            for name, count in self.in_flight.items()
            if self.classes[name].urgency >= urgency
        )


class Admission:
    """Admits requests up to this VM's concurrency limits and queues the rest.

    Args:
        capacity: Returns the concurrency limits, see `Capacity`.
        classes_of: Returns the configured classes of a service.
        clock: The process's clock.
        metrics: The daemon's metrics.
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
        self._services: dict[str, _ServiceState] = {}
        self._capacity_cache: dict[tuple[str, float], float] = {}
        self._cache_valid_until = 0.0
        self._requests_by_account: dict[str, int] = {}

    async def acquire(self, request: messages.RoutedRequest) -> Permit:
        """Waits for a slot.

        Raises:
            errors.NoServerError: No server is usable.
            errors.OverloadedError: The account's limit is reached, the
                queue is full, or the queueing timeout expired.
            errors.DeadlinePassedError: The request's deadline passed.
        """
        self._check(request)
        state = self._service_state(request.service)
        waiter = _AdmissionWaiter(
            request.account, request.weight, request.deadline
        )
        queue = state.queues.setdefault(request.class_name, queues.FairQueue())
        queue.push(waiter)
        self._requests_by_account[request.account] = (
            self._requests_by_account.get(request.account, 0) + 1
        )
        try:
            self.admit_waiting(request.service)
            if not waiter.decided.is_set():
                self._shed_excess(queue, request)
            await self._wait(request, waiter)
        except BaseException:
            if waiter.decided.is_set() and waiter.rejection is None:
                self._release_slot(request)
            else:
                queue.remove(waiter)
                self._release_account(request.account)
            raise
        return Permit(lambda: self._release_slot(request))

    def admit_waiting(self, service: str) -> None:
        """Admits the queued requests of a service that fit the limits."""
        state = self._services.get(service)
        if state is None:
            return
        for name in state.waiting_classes():
            queue = state.queues[name]
            while queue and self._may_start(service, state, name):
                waiter = queue.pop()
                assert isinstance(waiter, _AdmissionWaiter)
                state.in_flight[name] = state.in_flight.get(name, 0) + 1
                waiter.decided.set()

    def admit_all_waiting(self) -> None:
        """Admits the queued requests of all services that fit the limits."""
        for service in list(self._services):
            self.admit_waiting(service)

    def _check(self, request: messages.RoutedRequest) -> None:
        if (
            self._requests_by_account.get(request.account, 0)
            >= request.max_in_flight
        ):
            raise errors.OverloadedError(
                f"account {request.account!r} has {request.max_in_flight}"
                " requests in flight here, its most"
            )
        if self._capacity(request.service, 1.0) <= 0:  # bypasses the cache
            raise errors.NoServerError(
                f"no backend server of {request.service!r} can take requests"
            )

    def _service_state(self, service: str) -> _ServiceState:
        state = self._services.get(service)
        if state is None:
            state = self._services[service] = _ServiceState()
        state.classes.update(self._classes_of(service))
        return state

    def _shed_excess(
        self, queue: queues.FairQueue, request: messages.RoutedRequest
    ) -> None:
        """Sheds one queued request if the queue is over its limit.

        Raises:
            errors.OverloadedError: `request` itself is shed.
        """
        if len(queue) <= request.request_class.max_queued:
            return
        rejection = errors.OverloadedError(
            f"{len(queue) - 1} requests of class {request.class_name!r}"
            " wait here"
        )
        victim = queue.shedding_victim(request.account)
        if victim is None:
            raise rejection
        assert isinstance(victim, _AdmissionWaiter)
        queue.remove(victim)
        victim.rejection = rejection
        victim.decided.set()

    def _may_start(self, service: str, state: _ServiceState, name: str) -> bool:
        """Returns whether one more request of the class fits the limits.

        It counts towards the limit of its own urgency and of all more urgent
        levels, since each limit includes the less urgent requests.
        """
        class_urgency = state.classes[name].urgency
        levels = {cls.urgency for cls in state.classes.values()}
        for level in levels:
            if level > class_urgency:
                continue
            reserved = sum(
                cls.reserved_share
                for cls in state.classes.values()
                if cls.urgency < level
            )
            share = max(0.0, 1.0 - reserved)
            limit = self._cached_capacity(service, share)
            minimum = 1.0 if limit > 0 else 0.0
            if state.in_flight_at_or_below(level) + 1 > max(minimum, limit):
                return False
        return True

    def _cached_capacity(self, service: str, share: float) -> float:
        now = self._clock.monotonic()
        if now >= self._cache_valid_until:
            self._capacity_cache.clear()
            self._cache_valid_until = now + CAPACITY_CACHE_S
        limit = self._capacity_cache.get((service, share))
        if limit is None:
            limit = self._capacity_cache[service, share] = self._capacity(
                service, share
            )
        return limit

    async def _wait(
        self, request: messages.RoutedRequest, waiter: _AdmissionWaiter
    ) -> None:
        max_wait_s = request.request_class.max_wait_ms / 1000
        wait_until = min(request.arrived_at + max_wait_s, request.deadline)
        remaining_s = wait_until - self._clock.monotonic()
        with trio.move_on_after(max(0.0, remaining_s)):
            await waiter.decided.wait()
        if waiter.rejection is not None:
            raise waiter.rejection
        if not waiter.decided.is_set():
            raise errors.OverloadedError(
                f"no slot for class {request.class_name!r} became free in time"
            )
        self._metrics.observe(
            "request_wait_seconds",
            self._clock.monotonic() - request.arrived_at,
            request_class=request.class_name,
        )

    def _release_slot(self, request: messages.RoutedRequest) -> None:
        self._services[request.service].in_flight[request.class_name] -= 1
        self._release_account(request.account)
        self.admit_waiting(request.service)

    def _release_account(self, account: str) -> None:
        remaining = self._requests_by_account[account] - 1
        if remaining:
            self._requests_by_account[account] = remaining
        else:
            del self._requests_by_account[account]
