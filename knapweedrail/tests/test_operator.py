"""The operator's command against the platform's stand-in over HTTP."""

import json
import random

import anyio
import pytest

from knapweedrail.audits import read_entries
from knapweedrail.credits import Credit, Credited, change_tokens
from knapweedrail.outcomes import Unknown
from knapweedrail.standins.memory import MemoryPlatform, MemoryStore
from knapweedrail.standins.processes import Standin
from knapweedrail.tools.operator import main

from .test_configuration import make_file


@pytest.fixture
def standin():
    process = Standin("platform")
    process.start()
    process.wait_ready()
    yield process
    process.close()


@pytest.fixture
def run(standin, capsys):
    """Run a subcommand; give its exit code and what it printed as JSON."""

    def run_command(*arguments):
        base = ["--platform", f"http://{standin.address}", "--json"]
        code = main([*base, *map(str, arguments)])
        return code, json.loads(capsys.readouterr().out)

    return run_command


@pytest.fixture
def write(tmp_path):
    def write_file(name, **changes):
        path = tmp_path / name
        path.write_text(make_file(**changes))
        return path

    return write_file


def test_file_with_faults_is_told_whole_and_changes_nothing(run, write, capsys):
    """An operator applies a file with slips; half of it must not take effect."""
    path = write("bad.jsonc", routes=[{"name": "r", "endpoint": "x", "deadline": 1}])
    for command in ("check", "apply"):
        code, printed = run(command, path)
        assert code == 2
        assert len(printed["messages"]) == 2
        assert all(str(path) in line for line in printed["messages"])
    assert run("show")[1]["number"] == 0
    assert main(["check", str(path.with_name("none"))]) == 2
    assert "can't be read" in capsys.readouterr().err


def test_applied_file_is_shown_with_its_history(run, write):
    path = write("one.jsonc")
    assert run("check", path)[0] == 0
    code, printed = run("apply", path, "--author", "ann", "--identity", "first")
    assert (code, printed["number"]) == (0, 1)
    assert run("status", "first")[1]["number"] == 1
    shown = run("show")[1]
    assert (shown["author"], shown["text"]) == ("ann", path.read_text())
    runners = run("endpoints")[1]
    assert [row["runner"] for row in runners] == ["r1"]
    code, printed = run("apply", write("two.jsonc", routes=[]), "--base", "0")
    assert (code, printed["beaten_by"], printed["author"]) == (1, 1, "ann")
    assert printed["differences"] == ["routes/r removed"]
    assert [row["author"] for row in run("history")[1]] == ["ann"]
    assert run("routers")[1] == []


def test_top_up_counts_once_whoever_repeats_it(run, standin, write):
    """The answer to a top-up is lost and the operator repeats it; counted twice, the
    client account could spend what nobody paid."""
    run("apply", write("one.jsonc"))
    standin.set_faults(lose=1, lose_prefix="ledger/")
    code, printed = run("top-up", "b", 100, "--identity", "bill-17", "--author", "ann")
    assert (code, printed["tokens"], printed["limit"]) == (0, 100, 100)
    assert run("top-up", "b", 100, "--identity", "bill-17")[1]["limit"] == 100
    assert run("withdraw", "b", 101)[0] == 1
    code, printed = run("withdraw", "b", 40, "--identity", "back")
    assert (code, printed["limit"]) == (0, 60)
    [row] = run("budgets")[1]
    assert (row["budget"], row["tokens"], row["available"]) == ("b", 60, 60)
    trail = [row["detail"] for row in run("audit")[1] if row["subject"] == "b"]
    assert [line for line in trail if "bill-17" in line] == [
        "+100 tokens, identity bill-17: asked for",
        "+100 tokens, identity bill-17: done",
    ]
    assert sum("denied" in line for line in trail) == 1


def test_mistyped_budget_or_shards_change_nothing(run, write):
    """Tokens credited to a name that no file has, or where no router looks, would be
    paid for and never found."""
    run("apply", write("one.jsonc"))
    assert run("top-up", "b", 60)[0] == 0
    assert run("top-up", "bb", 100)[0] == 1
    codes = {run("top-up", "b", 1, "--ledger-shards", n)[0] for n in (5, 6, 7)}
    assert codes == {2}
    assert run("release", "nobody/1", "--unreported", 0)[1]["tokens"] == 0
    assert [row["tokens"] for row in run("budgets")[1]] == [60]


def test_unreachable_platform_is_told_truly(run, standin, write):
    """The platform is away before anything was sent: the command can say that nothing
    has changed. What became of an earlier command it can't say."""
    path = write("one.jsonc")
    standin.set_faults(outage=True)
    assert run("apply", path, "--seconds", "0.2")[0] == 1
    assert run("top-up", "b", 5)[0] == 1
    assert run("status", "first")[0] == 3


def test_lost_answer_of_a_top_up_is_unknown_until_it_is_repeated():
    """The platform goes away just after the write. Told "refused", the operator would
    top up again under another identity, and the tokens would be there twice."""

    class LastWrite(MemoryPlatform):
        async def write(self, key, value, expected):
            outcome = await super().write(key, value, expected)
            if not key.startswith("ledger/"):
                return outcome
            self.cut = True
            return Unknown("platform.write", "memory", "the answer was lost")

    async def test():
        store = MemoryStore()
        credit = Credit("b", 5, "late", "ann")
        rng = random.Random(1)
        first = await change_tokens(LastWrite(store), 0, credit, rng)
        assert isinstance(first, Unknown)
        again = await change_tokens(MemoryPlatform(store), 0, credit, rng)
        assert again == Credited(5, 5)
        entries = await read_entries(MemoryPlatform(store))
        assert [entry.identity.rpartition("/")[2] for entry in entries] == [
            "asked",
            "done",
        ]

    anyio.run(test)


def test_usage_errors_end_with_two(capsys):
    for wrong in (["apply"], ["show"], ["top-up", "b", "-5"], ["fence", "x"], []):
        with pytest.raises(SystemExit) as ended:
            main(wrong)
        assert ended.value.code == 2
    assert capsys.readouterr().err
