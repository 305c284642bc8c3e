"""Calls between the VMs of an emulated site."""

import typing

import trio

from laburnumsill.core import codec
from laburnumsill.core import errors
from laburnumsill.core import replication

ONE_WAY_LATENCY_S = 0.0005
"""One-way latency between two VMs of the site."""


class EmulatedPeers(replication.Peers):
    """The peers of one VM; every VM can reach every other one.

    Args:
        handlers: The handlers of all VMs, by VM and request type.
        vm: The local VM.
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
        """Runs the handler of `vm` on a decoded copy of the request."""
        handler = self._handlers[vm, type(request)]
        remaining = deadline - trio.current_time()
        with trio.move_on_after(max(0.0, remaining)):
            await trio.sleep(ONE_WAY_LATENCY_S)
            answer = await handler(codec.decode(codec.encode(request)))
            await trio.sleep(ONE_WAY_LATENCY_S)
            return codec.decode(codec.encode(answer))
        raise errors.OutcomeUnknownError(f"{vm}: no reply came")

    def on_call(
        self, request_type: type, handler: replication.AsyncHandler
    ) -> None:
        """Registers the handler of `request_type` on this VM."""
        self._handlers[self._vm, request_type] = handler

    def notify(self, vm: str, notice: object) -> None:
        """Does nothing: no emulated component sends notices."""

    def on_notice(
        self, notice_type: type, handler: replication.Handler
    ) -> None:
        """Does nothing: no emulated component sends notices."""

    def reachable(self) -> frozenset[str]:
        """Returns all VMs that have a handler."""
        return frozenset(vm for vm, _ in self._handlers)
