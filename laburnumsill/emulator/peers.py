"""Calls between the VMs of an emulated site."""

import typing

import trio

from laburnumsill.core import codec
from laburnumsill.core import errors
from laburnumsill.core import replication

TRIP_S = 0.0005
"""From one VM to another of the site."""


class EmulatedPeers(replication.Peers):
    """The peers of one VM; all VMs reach each other.

    Args:
        handlers: The handlers of all VMs by VM and type of request.
        vm: This VM.
    """

    def __init__(
        self,
        handlers: dict[tuple[str, type], replication.AsyncHandler],
        vm: str,
    ) -> None:
        self._handlers = handlers
        self._vm = vm

    async def call(
        self, vm: str, request: object, deadline: float
    ) -> typing.Any:
        """Runs the other VM's handler on a copy of the request."""
        handler = self._handlers[vm, type(request)]
        remaining = deadline - trio.current_time()
        with trio.move_on_after(max(0.0, remaining)):
            await trio.sleep(TRIP_S)
            answer = await handler(codec.decode(codec.encode(request)))
            await trio.sleep(TRIP_S)
            return codec.decode(codec.encode(answer))
        raise errors.OutcomeUnknownError(f"{vm}: no reply came")

    def on_call(
        self, request_type: type, handler: replication.AsyncHandler
    ) -> None:
        """Answers calls of `request_type` to this VM."""
        self._handlers[self._vm, request_type] = handler

    def notify(self, vm: str, notice: object) -> None:
        """Nothing emulated sends notices."""

    def on_notice(
        self, notice_type: type, handler: replication.Handler
    ) -> None:
        """Nothing emulated sends notices."""

    def reachable(self) -> frozenset[str]:
        """Returns the VMs."""
        return frozenset(vm for vm, _ in self._handlers)
