"""The operators' configuration: checks of a whole file, and what two files allow."""

from __future__ import annotations

import hashlib
from collections.abc import Iterable, Iterator
from typing import Any

import attrs
import cattrs

from . import shapes
from .addresses import check_address
from .documents import Document, Fault, Path, check_shape, parse_document
from .models import ClientAccount, Configuration, Endpoint, Route, Rules, Runner

SECTIONS = ("accounts", "budgets", "endpoints", "routes")
"""Sections that hold named items."""


def digest_text(text: str) -> str:
    """Return the digest that names a file's text."""
    return hashlib.sha256(text.encode()).hexdigest()


def read_configuration(text: str, file: str) -> Configuration | tuple[Fault, ...]:
    """Check a whole configuration file.

    Args:
        text: The file's text.
        file: Its name, for faults.

    Returns:
        The configuration, or every fault that was found, by line.
    """
    document = parse_document(text, file)
    if not isinstance(document, Document):
        return document
    faults = check_shape(document, shapes.CONFIGURATION)
    # References are checked as well where the shape allows, so that an operator
    # sees every fault in one go.
    faults = tuple(sorted({*faults, *_check_references(document)}))
    if faults:
        return faults
    return cattrs.structure(document.value, Configuration)


def _items(document: Document, section: str) -> Iterator[tuple[Path, dict]]:
    value = document.value
    items = value.get(section) if isinstance(value, dict) else None
    yield from _objects((section,), items)


def _objects(path: Path, items: Any) -> Iterator[tuple[Path, dict]]:
    if not isinstance(items, list):
        return
    for index, item in enumerate(items):
        if isinstance(item, dict):
            yield (*path, index), item


def _check_references(document: Document) -> Iterator[Fault]:
    for section in SECTIONS:
        names = (((*p, "name"), i.get("name")) for p, i in _items(document, section))
        yield from _check_unique(document, names, f"name in {section}")
    yield from _check_known(document, "accounts", "budget", "budgets")
    yield from _check_known(document, "routes", "endpoint", "endpoints")
    # One key that names two accounts would bill whichever comes first.
    yield from _check_unique(document, _list_keys(document), "key digest")
    runners = list(_list_runners(document))
    names = (((*p, "name"), r.get("name")) for p, r in runners)
    yield from _check_unique(document, names, "runner")
    # A runner listed twice would be given twice the work that it has slots for.
    addresses = [((*p, "address"), r.get("address")) for p, r in runners]
    yield from _check_unique(document, addresses, "runner address")
    for path, address in addresses:
        fault = check_address(address) if isinstance(address, str) else None
        if fault is not None:
            yield document.fault(path, fault)


def _list_keys(document: Document) -> Iterator[tuple[Path, Any]]:
    for path, account in _items(document, "accounts"):
        digests = account.get("key_digests")
        if isinstance(digests, list):
            for index, digest in enumerate(digests):
                yield (*path, "key_digests", index), digest


def _list_runners(document: Document) -> Iterator[tuple[Path, dict]]:
    for path, endpoint in _items(document, "endpoints"):
        yield from _objects((*path, "runners"), endpoint.get("runners"))


def _check_unique(
    document: Document, values: Iterable[tuple[Path, Any]], what: str
) -> Iterator[Fault]:
    seen: dict[str, int] = {}
    for path, value in values:
        if not isinstance(value, str):
            continue
        if value in seen:
            message = f"{what} {value!r} stands twice, first on line {seen[value]}"
            yield document.fault(path, message)
        else:
            seen[value] = document.lines.get(path, 1)


def _check_known(
    document: Document, section: str, key: str, target: str
) -> Iterator[Fault]:
    known = {i.get("name") for _, i in _items(document, target) if _has_name(i)}
    for path, item in _items(document, section):
        value = item.get(key)
        if isinstance(value, str) and value not in known:
            yield document.fault((*path, key), f"no {value!r} in {target}")


def _has_name(item: dict) -> bool:
    return isinstance(item.get("name"), str)


@attrs.frozen
class Undecided:
    """What only one of two versions allows, or each allows in another way.

    A caller who asks for it is told that the configuration is undecided rather
    than that the key or the route is unknown, which may be untrue.

    Attributes:
        accounts: Names of client accounts.
        keys: Digests of bearer keys.
        routes: Names of routes.
    """

    accounts: frozenset[str] = frozenset()
    keys: frozenset[str] = frozenset()
    routes: frozenset[str] = frozenset()


def intersect(old: Configuration, new: Configuration) -> Configuration:
    """Return what both versions allow.

    A data centre that has acknowledged ``new`` and is then cut off can't know
    which of the two is in force. Serving this intersection is right under both.
    """
    budgets = tuple(b for b in old.budgets if b in new.budgets)
    names = {b.name for b in budgets}
    accounts = _pair(old.accounts, new.accounts, _intersect_accounts)
    accounts = tuple(a for a in accounts if a.budget in names)
    endpoints = _pair(old.endpoints, new.endpoints, _intersect_endpoints)
    names = {e.name for e in endpoints}
    routes = _pair(old.routes, new.routes, _intersect_routes)
    routes = tuple(r for r in routes if r.endpoint in names)
    rules = _least(old.rules, new.rules)
    return Configuration(accounts, budgets, endpoints, routes, rules)


def list_undecided(old: Configuration, new: Configuration) -> Undecided:
    """Return what `intersect` leaves out of the two versions."""
    both = intersect(old, new)
    return Undecided(
        _names(old.accounts, new.accounts) - _names(both.accounts),
        _keys(old.accounts, new.accounts) - _keys(both.accounts),
        _names(old.routes, new.routes) - _names(both.routes),
    )


def _names(*groups: tuple) -> frozenset[str]:
    return frozenset(item.name for group in groups for item in group)


def _keys(*groups: tuple[ClientAccount, ...]) -> frozenset[str]:
    accounts = (account for group in groups for account in group)
    return frozenset(key for account in accounts for key in account.key_digests)


def _pair(old: tuple, new: tuple, intersect_items: Any) -> tuple:
    by_name = {item.name: item for item in new}
    pairs = ((item, by_name[item.name]) for item in old if item.name in by_name)
    merged = (intersect_items(first, second) for first, second in pairs)
    return tuple(item for item in merged if item is not None)


def _intersect_accounts(old: ClientAccount, new: ClientAccount) -> ClientAccount | None:
    keys = tuple(key for key in old.key_digests if key in new.key_digests)
    if old.budget != new.budget or not keys:
        return None
    return attrs.evolve(old, key_digests=keys, weight=min(old.weight, new.weight))


def _intersect_endpoints(old: Endpoint, new: Endpoint) -> Endpoint | None:
    runners: tuple[Runner, ...] = tuple(r for r in old.runners if r in new.runners)
    if old.kind != new.kind or not runners:
        return None
    return attrs.evolve(
        old,
        runners=runners,
        slots=min(old.slots, new.slots),
        checks_fencing=old.checks_fencing and new.checks_fencing,
    )


def _intersect_routes(old: Route, new: Route) -> Route | None:
    # A call under either price would be billed wrongly under the other version.
    if (old.endpoint, old.price_tokens) != (new.endpoint, new.price_tokens):
        return None
    return attrs.evolve(
        old,
        max_answer_tokens=min(old.max_answer_tokens, new.max_answer_tokens),
        deadline_seconds=min(old.deadline_seconds, new.deadline_seconds),
        repeatable=old.repeatable and new.repeatable,
    )


def _least(old: Rules, new: Rules) -> Rules:
    names = [field.name for field in attrs.fields(Rules)]
    return Rules(**{n: min(getattr(old, n), getattr(new, n)) for n in names})
