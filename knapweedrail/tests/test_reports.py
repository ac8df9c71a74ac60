"""What a fleet decided, from lines as its hosts write them."""

import orjson
import pytest

from ..explanations import read_lines
from ..reports import make_report
from ..tools import report


def write(at, event, **fields):
    return orjson.dumps({"timestamp": at, "message_type": event, **fields})


LINES = [
    write(100.0, "101 router_started", host="a"),
    write(100.5, "311 grant_planned", account="farm", change=500),
    write(100.6, "311 grant_planned", account="farm", change=-100),
    write(
        101.0,
        "606 request_answered",
        request="r1",
        runner="i-1",
        used=60,
        first_byte=0.1,
        prefix=["base:10", "herd:40", "own:5"],
    ),
    write(
        103.0,
        "606 request_answered",
        request="r2",
        runner="i-2",
        used=70,
        first_byte=0.3,
        prefix=["base:10", "herd:40", "other:5"],
    ),
    write(103.5, "313 tokens_short", request="r3", account="farm", tokens=90),
    write(103.6, "602 request_refused", request="r3", kind="budget-out-of-reach"),
    write(103.7, "602 request_refused", request="r4", kind="full"),
    write(104.0, "314 grant_settled", written_off=30, returned=70),
    write(104.1, "603 attempt_failed", runner="i-2", failure="broken"),
    b"not a line of ours",
]


def make():
    return make_report(read_lines("a", LINES), 2.0)


def test_refusals_are_counted_by_kind_and_account():
    rows = make().refusals.to_dict("records")
    assert {"kind": "budget-out-of-reach", "account": "farm", "refused": 1} in rows
    assert {"kind": "full", "account": "-", "refused": 1} in rows


def test_tokens_are_summed_by_time():
    tokens = make().tokens
    assert tokens.loc[0.0, "granted"] == 500
    assert tokens.loc[0.0, "given back"] == 100
    assert tokens.loc[0.0, "used"] == 60
    assert tokens.loc[2.0, "used"] == 70
    assert tokens.loc[4.0, "written off"] == 30
    assert tokens.loc[4.0, "come back"] == 70


def test_waits_tell_of_each_runner():
    waits = make().waits
    assert waits.loc["i-1", "median"] == 0.1
    assert waits.loc["i-2", "failed"] == 1


def test_a_shared_part_that_moves_is_told():
    """Two requests share a history, and the second one goes to another runner, which
    has to read it again."""
    repeats = make().repeats
    assert repeats["shared"].sum() == 100
    assert repeats["at another runner"].sum() == 50


def test_the_command_prints_tables_and_draws(tmp_path, capsys):
    log, plot = tmp_path / "a.log", tmp_path / "a.png"
    log.write_bytes(b"\n".join(LINES))
    assert report.main([str(log), "--plot", str(plot)]) == 0
    assert "budget-out-of-reach" in capsys.readouterr().out
    assert plot.read_bytes().startswith(b"\x89PNG")


def test_the_command_says_that_there_is_nothing(tmp_path, capsys):
    log = tmp_path / "a.log"
    log.write_bytes(b"nothing\n")
    assert report.main([str(log)]) == 1
    assert "no log line" in capsys.readouterr().err
    assert report.main([str(tmp_path / "missing")]) == 2


@pytest.mark.parametrize("step", ["0", "-1", "x"])
def test_a_wrong_step_is_a_wrong_command_line(step):
    with pytest.raises(SystemExit) as ended:
        report.main(["--step", step])
    assert ended.value.code == 2
