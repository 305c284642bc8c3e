"""An operator, who gives orders for failure domains through the VMs."""

import contextlib
import random
from collections import abc

import trio

from laburnumsill.batch import domain_gateway
from laburnumsill.batch import evacuations
from laburnumsill.core import errors
from laburnumsill.emulator import leadership

PATIENCE_S = 1.0
"""Time after which an operator leaves a call without an answer."""

TIMEOUT_S = 0.9
"""Time after its arrival until which a VM may carry an order out."""

RETRY_DELAY_S = 0.1
"""Pause after all VMs have been tried in vain."""

Order = abc.Callable[
    [domain_gateway.DomainGateway, str, float],
    abc.Awaitable[evacuations.DomainState],
]
"""Gives an order for a failure domain through a VM, up to a deadline."""


class Operator:
    """Gives orders to one VM after the other until one succeeds.

    Args:
        gateways: The receiver of the orders on each VM.
        groups: The leadership of the group.
        rng: Source of the order in which the VMs are tried.
    """

    def __init__(
        self,
        gateways: abc.Mapping[str, domain_gateway.DomainGateway],
        groups: leadership.Leadership,
        rng: random.Random,
    ) -> None:
        self._gateways = gateways
        self._groups = groups
        self._random = rng

    async def order(
        self, nursery: trio.Nursery, order: Order, domain: str
    ) -> None:
        """Gives an order for a domain until it succeeds.

        The operator leaves a call after `PATIENCE_S`. A VM that is suspended
        then carries the order out when it resumes.

        Args:
            nursery: Runs the calls, also those that the operator has left.
            order: The order.
            domain: The failure domain.
        """
        while True:
            for vm in self._random.sample(
                list(self._gateways), len(self._gateways)
            ):
                answer, answers = trio.open_memory_channel[bool](1)
                nursery.start_soon(self._carry_out, vm, order, domain, answer)
                with trio.move_on_after(PATIENCE_S):
                    if await answers.receive():
                        return
            await trio.sleep(RETRY_DELAY_S)

    async def _carry_out(
        self,
        vm: str,
        order: Order,
        domain: str,
        answer: trio.MemorySendChannel[bool],
    ) -> None:
        """Carries an order out on a VM; answers whether it succeeded."""
        deadline = trio.current_time() + TIMEOUT_S
        await self._groups.wait_until_resumed(vm)
        succeeded = False
        with contextlib.suppress(errors.LaburnumsillError):
            await order(self._gateways[vm], domain, deadline)
            succeeded = True
        answer.send_nowait(succeeded)
