"""Which submissions are admitted beside others."""

import json

import hypothesis
import pytest
from hypothesis import strategies

from laburnumsill.platform import submission_budget

STEP = b'{"count":1}'
STEPS = 10
MAX_BYTES = (STEPS + 1) * submission_budget.STEP_BYTES


def job(steps: int) -> bytes:
    return b'{"spec":"","steps":[' + b",".join([STEP] * steps) + b"]}"


def test_a_large_submission_is_refused_beside_another():
    budget = submission_budget.SubmissionBudget(MAX_BYTES)
    with budget.holding(job(STEPS)):
        refused = pytest.raises(submission_budget.TooManySubmissionsError)
        with refused as error, budget.holding(job(STEPS)):
            pass
        assert (error.value.status, error.value.retry_after_s) == (503, 1.0)
    with budget.holding(job(STEPS)):
        pass


def test_a_submission_that_is_alone_is_admitted_at_any_size():
    budget = submission_budget.SubmissionBudget(MAX_BYTES)
    with budget.holding(job(100 * STEPS)):
        pass


def test_small_submissions_are_admitted_beside_each_other():
    budget = submission_budget.SubmissionBudget(MAX_BYTES)
    with budget.holding(job(4)), budget.holding(job(4)):
        pass


def objects_in(document) -> int:
    if isinstance(document, dict):
        return 1 + sum(map(objects_in, document.values()))
    return sum(map(objects_in, document)) if isinstance(document, list) else 0


@hypothesis.given(
    strategies.recursive(
        strategies.none() | strategies.text(),
        lambda inner: (
            strategies.lists(inner)
            | strategies.dictionaries(strategies.text(), inner)
        ),
    )
)
def test_no_object_of_a_document_goes_uncounted(document):
    """Guards against steps that need memory and are not counted."""
    body = json.dumps(document, indent=1).encode()
    counted = submission_budget.objects_at_most(body)
    assert counted >= objects_in(document)
