"""The filter for durable requests: accepts them once they are committed."""

import orjson
import trio

from laburnumsill.config import models
from laburnumsill.core import clock as clocks
from laburnumsill.core import errors
from laburnumsill.core import logs
from laburnumsill.core import replication
from laburnumsill.requests import home
from laburnumsill.requests import messages
from laburnumsill.state import durable

ACCEPT_PATIENCE_S = 1.5
"""Longest wait for the commit, which bridges the election of a leader."""

_PAUSE_S = 0.05


class DurableExpiredError(errors.LaburnumsillError):
    """A durable request ended without a recorded success."""

    slug = "durable-ended"
    status = 410
    title = "The durable request ended without success"


class AcceptFilter:
    """Commits durable requests to their home groups.

    Args:
        groups: The replicated groups.
        clock: The process's clock.
    """

    def __init__(self, groups: replication.Groups, clock: clocks.Clock) -> None:
        self._groups = groups
        self._clock = clock

    async def accept(
        self,
        request: messages.RoutedRequest,
        configuration: models.Configuration,
    ) -> messages.Answer:
        """Returns the answer once the request is committed.

        Raises:
            errors.OverloadedError: Nothing of this key is kept.
            messages.HomeUnreachableError: This or an earlier send of the
                key may have been accepted.
            errors.KeyReusedError: The key belongs to another request.
            DurableExpiredError: It was accepted before and did not succeed.
        """
        group = home.home_group(request.claim_key, configuration)
        command = self._command(request, configuration.requests)
        until = min(
            request.deadline, self._clock.monotonic() + ACCEPT_PATIENCE_S
        )
        status = await self._propose(group, command, until)
        logs.decision(
            "durable-accepted",
            request=request.request_id,
            group=group,
            state=status.state,
        )
        return _answer(request, status)

    def _command(
        self, request: messages.RoutedRequest, policy: models.RequestPolicy
    ) -> durable.AcceptDurable:
        now = self._clock.wall()
        deadline = now + policy.durable_timeout_s
        work = durable.DurableWork(
            request.service,
            request.class_name,
            request.account,
            request.key or "",
            request.method,
            request.target,
            request.headers,
            request.body,
        )
        return durable.AcceptDurable(
            request.claim_key,
            request.digest,
            work,
            now,
            deadline,
            deadline + policy.claim_retention_s,
        )

    async def _propose(
        self, group: str, command: durable.AcceptDurable, until: float
    ) -> durable.DurableStatus:
        while True:
            try:
                status: durable.DurableStatus = await self._groups.propose(
                    group, command, until
                )
                return status
            except errors.OverloadedError:
                raise
            except errors.UnavailableError as error:
                raise messages.HomeUnreachableError(error.detail) from error
            except errors.ProposalLostError as error:
                if self._clock.monotonic() + _PAUSE_S >= until:
                    raise messages.HomeUnreachableError(error.detail) from error
            await trio.sleep(_PAUSE_S)


def _answer(
    request: messages.RoutedRequest, status: durable.DurableStatus
) -> messages.Answer:
    state = status.state
    body = orjson.dumps({"key": request.key, "state": state})
    headers = ((b"content-type", b"application/json"),)
    if state is durable.DurableState.PENDING:
        return messages.Answer(messages.Outcome.ACCEPTED, 202, headers, body)
    if state is durable.DurableState.SUCCEEDED:
        return messages.Answer(messages.Outcome.ANSWERED, 200, headers, body)
    raise DurableExpiredError(f"it ended as {state}", state=str(state))
