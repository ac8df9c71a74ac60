"""The event catalogue matches its page in the documentation."""

import pathlib
import re

from ..events import Event

PAGE = pathlib.Path(__file__).parents[2] / "docs" / "EVENTS.md"
ROW = re.compile(r"^\| (\d+) \| `(\w+)` \| (.+?) \|", re.MULTILINE)


def test_the_page_lists_every_event_with_its_number_and_meaning():
    listed = {(int(n), name, text) for n, name, text in ROW.findall(PAGE.read_text())}
    known = {(e.number, e.name.lower(), e.meaning) for e in Event}
    assert listed == known


def test_event_numbers_are_unique():
    numbers = [event.number for event in Event]
    assert len(numbers) == len(set(numbers))
