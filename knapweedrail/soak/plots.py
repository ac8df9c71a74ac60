"""A picture of one run: what was done when, and what callers got."""

from __future__ import annotations

import collections
from pathlib import Path

from .records import History, Sent

BIN_SECONDS = 0.5
"""Width of one column of outcomes."""

COLOURS = {"served": "tab:green", "refused": "tab:orange", "broken": "tab:red"}


def classify(sent: Sent) -> str:
    """Return whether a request was served, refused as not run, or neither."""
    if sent.status == 200 and sent.whole:
        return "served"
    if sent.status in (402, 429, 503):
        return "refused"
    return "broken"


def count_by_time(history: History, began_at: float) -> dict[str, dict[int, int]]:
    """Return how many requests had each outcome, by column of their sending."""
    counts: dict[str, dict[int, int]] = {
        outcome: collections.Counter() for outcome in COLOURS
    }
    for sent in history.sent:
        column = int((sent.sent_at - began_at) / BIN_SECONDS)
        counts[classify(sent)][column] += 1
    return counts


def draw_run(history: History, path: Path) -> None:
    """Draw one run into a file of the format that its name ends with."""
    # Only who draws needs the library; it isn't there where relays run.
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    began_at = min(sent.sent_at for sent in history.sent)
    figure, (upper, lower) = pyplot.subplots(2, 1, sharex=True, figsize=(10, 7))
    bottom: dict[int, int] = collections.Counter()
    for outcome, counts in count_by_time(history, began_at).items():
        columns = sorted(counts)
        upper.bar(
            [column * BIN_SECONDS for column in columns],
            [counts[column] for column in columns],
            BIN_SECONDS,
            [bottom[column] for column in columns],
            align="edge",
            color=COLOURS[outcome],
            label=outcome,
        )
        for column in columns:
            bottom[column] += counts[column]
    upper.set_ylabel("requests")
    upper.legend()
    for row, one in enumerate(history.disturbances):
        width = max(0.05, one.ended_at - one.began_at)
        lower.barh(row, width, left=one.began_at - began_at)
    lower.set_yticks(
        range(len(history.disturbances)),
        [f"{one.kind} {one.target}" for one in history.disturbances],
    )
    lower.set_xlabel("seconds")
    figure.tight_layout()
    figure.savefig(path)
    pyplot.close(figure)
