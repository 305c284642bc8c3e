"""The accept filter: commits durable requests before they are accepted."""

import orjson
import trio

from laburnumsill.config import models
from laburnumsill.core import clock as clocks
from laburnumsill.core import errors
from laburnumsill.core import logs
from laburnumsill.core import replication
from laburnumsill.requests import home_groups
from laburnumsill.requests import messages
from laburnumsill.state import durable

ACCEPT_TIMEOUT_S = 1.5
"""Timeout for the commit, long enough for a leader election."""

_RETRY_INTERVAL_S = 0.05


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
        """Commits a request and returns its acceptance or recorded result.

        Raises:
            errors.OverloadedError: The request was not accepted, and no
                record of its key is stored.
            messages.HomeUnreachableError: This or an earlier send of the
                key may have been accepted.
            errors.KeyReusedError: The key belongs to another request.
            DurableExpiredError: The request was accepted before and ended
                without success.
        """
        group = home_groups.home_group(request.claim_key, configuration)
        command = self._command(request, configuration.requests)
        propose_deadline = min(
            request.deadline, self._clock.monotonic() + ACCEPT_TIMEOUT_S
        )
        status = await self._propose(group, command, propose_deadline)
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
        self,
        group: str,
        command: durable.AcceptDurable,
        propose_deadline: float,
    ) -> durable.DurableStatus:
        while True:
            try:
                status: durable.DurableStatus = await self._groups.propose(
                    group, command, propose_deadline
                )
                return status
            except errors.OverloadedError:
                raise
            except errors.UnavailableError as error:
                raise messages.HomeUnreachableError(error.detail) from error
            except errors.ProposalLostError as error:
                if (
                    self._clock.monotonic() + _RETRY_INTERVAL_S
                    >= propose_deadline
                ):
                    raise messages.HomeUnreachableError(error.detail) from error
            await trio.sleep(_RETRY_INTERVAL_S)


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
