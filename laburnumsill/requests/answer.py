"""The answer filter: builds the caller's answer, complete or streamed."""

import typing

from laburnumsill.core import errors
from laburnumsill.requests import dispatch
from laburnumsill.requests import headers
from laburnumsill.requests import messages
from laburnumsill.state import answers
from laburnumsill.state import claim_records


def from_exchange(
    exchange: dispatch.Exchange,
    on_close: typing.Callable[[], typing.Awaitable[None]],
) -> messages.Answer:
    """Returns an answer whose body is streamed from the server."""
    return messages.Answer(
        messages.Outcome.ANSWERED,
        exchange.status,
        headers.end_to_end(exchange.headers),
        exchange.chunks(),
        on_close,
    )


def from_stored_answer(answer: answers.StoredAnswer) -> messages.Answer:
    """Returns the answer that was stored with a claim."""
    return messages.Answer(
        messages.Outcome.ANSWERED, answer.status, answer.headers, answer.body
    )


def from_claim_status(status: claim_records.ClaimStatus) -> messages.Answer:
    """Returns the answer to a resend, from the claim of its key.

    Raises:
        errors.InProgressError: The request is running or about to run.
        errors.OutcomeUnknownError: The request may have run and will not be
            run again.
        messages.AnswerNotKeptError: The request was answered, but its answer
            is not stored.
        errors.UnavailableError: The request was not run; a resend may run.
    """
    if status.answer is not None:
        return from_stored_answer(status.answer)
    if status.state is claim_records.ClaimState.ANSWERED:
        raise messages.AnswerNotKeptError("the request was answered before")
    if status.state is claim_records.ClaimState.IN_PROGRESS:
        raise errors.InProgressError("the request is in progress")
    if status.state is claim_records.ClaimState.UNKNOWN:
        raise errors.OutcomeUnknownError(
            "the request may have run; it will not be run again"
        )
    raise errors.UnavailableError("the request was not run")


def outcome_of(error: errors.LaburnumsillError) -> messages.Outcome:
    """Returns the request's outcome that an error implies."""
    if isinstance(error, messages.AnswerNotKeptError):
        return messages.Outcome.ANSWERED
    not_run_errors = (errors.InvalidInputError, errors.UnavailableError)
    if isinstance(error, not_run_errors):
        return messages.Outcome.NOT_RUN
    return messages.Outcome.UNKNOWN
