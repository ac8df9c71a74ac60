"""What differs between two configurations, by section and name."""

from __future__ import annotations

import enum

import attrs

from .configuration import SECTIONS
from .models import Configuration


class Change(enum.Enum):
    """How an item differs."""

    ADDED = "added"
    REMOVED = "removed"
    CHANGED = "changed"


@attrs.frozen
class Difference:
    """One item that differs.

    Attributes:
        section: The section of the file.
        name: The item's name; of the rules, the rule's name.
        change: How it differs.
        fields: The fields that differ, of a changed item.
    """

    section: str
    name: str
    change: Change
    fields: tuple[str, ...] = ()

    def __str__(self) -> str:
        fields = f" ({', '.join(self.fields)})" if self.fields else ""
        return f"{self.section}/{self.name} {self.change.value}{fields}"


def list_differences(old: Configuration, new: Configuration) -> tuple[Difference, ...]:
    """Return what is added, removed or changed from ``old`` to ``new``."""
    differences = []
    for section in SECTIONS:
        before = {item.name: item for item in getattr(old, section)}
        after = {item.name: item for item in getattr(new, section)}
        for name in sorted({*before, *after}):
            first, second = before.get(name), after.get(name)
            if first != second:
                differences.append(_compare(section, name, first, second))
    for name in _list_changed(old.rules, new.rules):
        differences.append(Difference("rules", name, Change.CHANGED))
    return tuple(differences)


def _compare(section: str, name: str, old: object, new: object) -> Difference:
    if old is None:
        return Difference(section, name, Change.ADDED)
    if new is None:
        return Difference(section, name, Change.REMOVED)
    return Difference(section, name, Change.CHANGED, _list_changed(old, new))


def _list_changed(old: object, new: object) -> tuple[str, ...]:
    names = (field.name for field in attrs.fields(type(old)))
    return tuple(n for n in names if getattr(old, n) != getattr(new, n))


def check_change(old: Configuration, new: Configuration) -> tuple[str, ...]:
    """Return what may not change from one configuration to the next.

    A budget's opening tokens are credited once. If a file could change them, nobody
    could tell whether the new figure adds to the old one or replaces it, and what it
    means for tokens that are granted or spent; `top-up` and `withdraw` say that.
    """
    before = {budget.name: budget.opening_tokens for budget in old.budgets}
    return tuple(
        f"budget {budget.name!r}: opening_tokens is {before[budget.name]} in force and"
        f" {budget.opening_tokens} in this file; use top-up or withdraw"
        for budget in new.budgets
        if before.get(budget.name, budget.opening_tokens) != budget.opening_tokens
    )
