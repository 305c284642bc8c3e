import pytest

from laburnumsill.core import errors
from laburnumsill.jobs import service


class PassingClock:
    """A clock on which time passes between any two readings."""

    def __init__(self, seconds):
        self._now = 0.0
        self._seconds = seconds

    def monotonic(self):
        self._now += self._seconds
        return self._now


async def call_until(deadline, *failures):
    left = list(failures)

    async def call():
        raise left.pop(0) if len(left) > 1 else left[0]

    clock = PassingClock(service.RETRY_PAUSE_S / 2)
    return await service.retried(call, clock, deadline)


@pytest.mark.parametrize("pauses", [1, 1.5, 2, 2.5, 3])
async def test_refusals_alone_are_no_unknown_outcome(autojump_clock, pauses):
    # The deadline could pass between two readings of the clock.
    with pytest.raises(errors.NoQuorumError):
        await call_until(
            pauses * service.RETRY_PAUSE_S, errors.NoQuorumError("refused")
        )


async def test_a_refusal_after_an_unknown_outcome_leaves_it_unknown(
    autojump_clock,
):
    with pytest.raises(errors.OutcomeUnknownError):
        await call_until(
            10 * service.RETRY_PAUSE_S,
            errors.ProposalLostError("lost"),
            errors.NoQuorumError("refused"),
        )
