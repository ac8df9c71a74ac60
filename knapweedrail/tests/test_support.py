"""Tests of the judge: each wrong outcome that it is there for is found."""

import attrs
import pytest

from ..standins.fleet import Plan
from .support import NOT_RUN, Attempt, Call, Callers, check_outcomes, make_answer

BUDGET = 100


@attrs.define
class CountedFleet:
    """A fleet of which only the runners' counts are known."""

    counts: dict
    plan: Plan = Plan(accounts={"desk": BUDGET})
    top_ups: dict = attrs.field(factory=dict)

    def read_counts(self):
        """Return the counts."""
        return self.counts


def judge(kind, attempt, runs, tokens=10):
    """Return what the judge says of one call with one attempt."""
    counts = {"desk:a": {"runs": runs, "tokens": tokens}} if runs else {}
    callers = Callers(CountedFleet(counts))
    callers.calls.append(Call("desk", "a", kind, [attempt]))
    return check_outcomes(callers)


def answer(text_tokens, told_tokens, whole=True, identity="a"):
    """Make an attempt that got so many tokens and was told of so many."""
    text = make_answer(Call("desk", identity, "chat"), text_tokens)
    usage = {"completion_tokens": told_tokens}
    return Attempt("r", 200, text, whole, usage=usage)


BOOKED = Attempt("r", 200, '{"identity": "desk:a"}', True)
REFUSED = Attempt("r", 503, problem={"ran": NOT_RUN})


@pytest.mark.parametrize(
    ("kind", "attempt", "runs", "tokens"),
    [
        ("chat", answer(3, 3), 1, BUDGET + 1),
        ("chat", answer(3, 3, identity="b"), 1, 10),
        ("chat", answer(3, 4), 1, 10),
        ("chat", answer(3, 3), 0, 0),
        ("chat", REFUSED, 1, 10),
        ("book", BOOKED, 2, 20),
        ("book", attrs.evolve(BOOKED, text='{"identity": "desk:b"}'), 1, 10),
    ],
    ids=[
        "overspent",
        "of another request",
        "cut off and taken for whole",
        "answered without a run",
        "told as not run and ran",
        "booked twice",
        "booking of another request",
    ],
)
def test_a_wrong_outcome_is_found(kind, attempt, runs, tokens):
    """Each is what a caller, or the firm that pays, would suffer from."""
    assert len(judge(kind, attempt, runs, tokens)) == 1


def test_a_right_outcome_passes():
    """A whole own answer, the start of one, and a true refusal."""
    assert judge("chat", answer(3, 3), 1) == []
    assert judge("chat", answer(3, 9, whole=False), 1) == []
    assert judge("book", BOOKED, 1) == []
    assert judge("book", REFUSED, 0) == []
