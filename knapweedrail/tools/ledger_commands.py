"""Subcommands on budgets and on what dead routers left."""

from __future__ import annotations

import argparse
import random

from ..configuration import read_configuration
from ..credits import (
    Credit,
    CreditDenied,
    Credited,
    change_tokens,
    find_ledger,
    list_records,
    read_ledgers,
)
from ..models import Configuration, Holder
from ..outcomes import Unavailable, Unknown
from ..platforms import Platform
from ..releases import Released, Vouch
from ..releases import release as release_tokens
from .commands import describe_failure, load_in_force, make_identity
from .results import EXIT_FAULTS, EXIT_OK, EXIT_REFUSED, EXIT_UNKNOWN, Result, Table


async def top_up(arguments: argparse.Namespace, platform: Platform) -> Result:
    """Add tokens to a prepaid budget."""
    return await change_budget(arguments, platform, arguments.tokens)


async def withdraw(arguments: argparse.Namespace, platform: Platform) -> Result:
    """Take tokens out of a prepaid budget, up to what no router holds."""
    return await change_budget(arguments, platform, -arguments.tokens)


async def change_budget(
    arguments: argparse.Namespace, platform: Platform, tokens: int
) -> Result:
    """Change a budget's tokens, once for the command's identity."""
    ledgers = await read_ledgers(platform)
    if isinstance(ledgers, Unavailable):
        return describe_failure(ledgers)
    if arguments.budget not in list_records(ledgers):
        loaded = await load_in_force(platform)
        if isinstance(loaded, Unavailable):
            return describe_failure(loaded)
        found = read_configuration(loaded[1], "in force")
        budgets = found.budgets if isinstance(found, Configuration) else ()
        if arguments.budget not in {budget.name for budget in budgets}:
            return Result(EXIT_REFUSED, [f"no budget {arguments.budget!r}"])
    shard = find_ledger(ledgers, arguments.budget, arguments.ledger_shards)
    if shard is None:
        line = "--ledger-shards differs from the routers' setting ledger_shards"
        return Result(EXIT_FAULTS, [line])
    identity = make_identity(arguments)
    credit = Credit(arguments.budget, tokens, identity, arguments.author)
    outcome = await change_tokens(platform, shard, credit, random.Random())
    values = {"budget": credit.budget, "identity": identity}
    if isinstance(outcome, Credited):
        line = f"{outcome.tokens:+d} tokens, {outcome.limit} in all, {identity}"
        values |= {"tokens": outcome.tokens, "limit": outcome.limit}
        return Result(EXIT_OK, [line], values)
    if isinstance(outcome, CreditDenied):
        return Result(EXIT_REFUSED, [f"refused: {outcome.reason}"], values)
    if isinstance(outcome, Unknown):
        lines = [f"unknown: {outcome.detail}", f"repeat it with --identity {identity}"]
        return Result(EXIT_UNKNOWN, lines, values)
    return describe_failure(outcome)


async def budgets(arguments: argparse.Namespace, platform: Platform) -> Result:
    """Show the prepaid budgets as the ledgers record them."""
    ledgers = await read_ledgers(platform)
    if isinstance(ledgers, Unavailable):
        return describe_failure(ledgers)
    table = Table(("budget", "tokens", "available", "held", "used", "billed"))
    for name, record in sorted(list_records(ledgers).items()):
        held = record.limit - record.available - record.spent
        table.add(
            name, record.limit, record.available, held, record.spent, record.billed
        )
    return table.result()


async def release(arguments: argparse.Namespace, platform: Platform) -> Result:
    """Give back a dead router's tokens, on your word that nothing works for it."""
    holder = Holder.parse(arguments.router)
    vouch = Vouch(holder, arguments.unreported, arguments.author)
    outcome = await release_tokens(platform, vouch, random.Random())
    if not isinstance(outcome, Released):
        return describe_failure(outcome)
    values = {"tokens": outcome.tokens, "waiting": outcome.waiting}
    lines = [f"{outcome.tokens} tokens given back"]
    if outcome.waiting:
        shards = ", ".join(map(str, outcome.waiting))
        lines.append(f"not yet in ledgers {shards}: the router isn't given up there")
    code = EXIT_REFUSED if outcome.waiting else EXIT_OK
    return Result(code, lines, values)
