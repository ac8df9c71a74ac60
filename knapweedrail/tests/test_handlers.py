"""Tests of what a router adds to exchanges with others."""

import random

from ..handlers import NEWEST_LINES, OLDER_LINES, choose_lines


def test_many_quarantined_requests_make_no_large_exchange():
    """One faulty content comes under thousands of variants, each of which fells
    runners. If every exchange named them all, the routers' own talk would fill their
    links and the streams of other callers would stall; still each router must hear of
    each of them."""
    lines = [f"fingerprint-{number}|loss|" for number in range(500)]
    rng = random.Random(1)
    told = set()
    for _ in range(2_000):
        chosen = choose_lines(lines, rng)
        assert len(chosen) == NEWEST_LINES + OLDER_LINES
        assert chosen[-NEWEST_LINES:] == lines[-NEWEST_LINES:]
        told.update(chosen)
    assert told == set(lines)
    assert choose_lines(lines[:2], rng) == lines[:2]
