"""The last filter: makes the caller's answer, whole or streamed."""

import typing

from laburnumsill.core import errors
from laburnumsill.requests import dispatch
from laburnumsill.requests import headers
from laburnumsill.requests import messages
from laburnumsill.state import answers
from laburnumsill.state import claim_records


def streamed(
    exchange: dispatch.Exchange,
    on_close: typing.Callable[[], typing.Awaitable[None]],
) -> messages.Answer:
    """Returns an answer that is passed on as it arrives."""
    return messages.Answer(
        messages.Outcome.ANSWERED,
        exchange.status,
        headers.end_to_end(exchange.headers),
        exchange.chunks(),
        on_close,
    )


def stored(answer: answers.StoredAnswer) -> messages.Answer:
    """Returns an answer that is at hand whole."""
    return messages.Answer(
        messages.Outcome.ANSWERED, answer.status, answer.headers, answer.body
    )


def of_claim(status: claim_records.ClaimStatus) -> messages.Answer:
    """Returns the answer to a resend, from what is known of its key.

    Raises:
        errors.InProgressError: It runs, or is about to.
        errors.OutcomeUnknownError: It may have run and never will again.
        messages.AnswerNotKeptError: It was answered, but is not kept.
        errors.UnavailableError: It was not run; a resend may be.
    """
    if status.answer is not None:
        return stored(status.answer)
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
    """Returns what an error says became of the request."""
    if isinstance(error, messages.AnswerNotKeptError):
        return messages.Outcome.ANSWERED
    truthful = (errors.InvalidInputError, errors.UnavailableError)
    if isinstance(error, truthful):
        return messages.Outcome.NOT_RUN
    return messages.Outcome.UNKNOWN
