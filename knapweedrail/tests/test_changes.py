"""Configurations over a fleet of tasks, with cuts, deaths and lost answers."""

import json
import random

import anyio
import pytest

from knapweedrail.audits import Kind, read_entries
from knapweedrail.proposals import (
    ACKS_KEY,
    STATE_KEY,
    Stage,
    decode_acks,
    decode_state,
)
from knapweedrail.standins.memory import MemoryPlatform
from knapweedrail.submissions import (
    Accepted,
    Outrun,
    Refused,
    Submission,
    SubmissionTimes,
    Unsettled,
)

from .routers_in_memory import Router, run_fleet, until
from .test_configuration import make_file

FLEET = ("split-a-1", "split-a-2", "split-b-1", "zadar-c-1")
TIMES = SubmissionTimes(total_seconds=1.0, answer_seconds=5.0, poll_seconds=0.02)


def make_text(route="r", price=1):
    return make_file(routes=[{"name": route, "endpoint": "e", "price_tokens": price}])


def make_submission(fleet, identity, times=TIMES, platform=None):
    platform = platform or MemoryPlatform(fleet.store)
    return Submission(platform, identity, "ann", random.Random(identity), times)


async def apply(fleet, identity, text, **options):
    return await make_submission(fleet, identity, **options).apply(text, "f.jsonc")


def in_force_everywhere(fleet, number):
    return all(router.number == number for router in fleet.running)


def list_acknowledged(fleet, number):
    acks = decode_acks(fleet.store.objects[ACKS_KEY][0])
    return acks.centres if acks.number == number else ()


def run(test):
    anyio.run(test)


async def list_audit(fleet, kind):
    entries = await read_entries(MemoryPlatform(fleet.store), pages=10)
    return [entry for entry in entries if entry.kind is kind]


def test_accepted_file_comes_into_force_in_every_data_centre():
    async def test():
        async with run_fleet(*FLEET) as fleet:
            assert await apply(fleet, "one", make_text()) == Accepted(1, "one")
            await until(lambda: in_force_everywhere(fleet, 1))
            assert await apply(fleet, "two", make_text("s")) == Accepted(2, "two")
            await until(lambda: in_force_everywhere(fleet, 2))
            view = fleet.routers[0].task.view
            assert [r.name for r in view.configuration.routes] == ["s"]
            assert not view.doubtful and not view.undecided.routes
            await until(lambda: fleet.store.writes.count("audit/head") >= 8)
            accepted = await list_audit(fleet, Kind.ACCEPTED)
            assert [(e.before, e.after) for e in accepted] == [("0", "1"), ("1", "2")]
            in_force = await list_audit(fleet, Kind.IN_FORCE)
            assert sorted((e.after, e.subject) for e in in_force) == sorted(
                (n, c) for n in "12" for c in ("split-a", "split-b", "zadar-c")
            )

    run(test)


def test_cut_off_data_centre_keeps_a_file_from_being_accepted():
    """A data centre is cut off while an operator applies a file. Were it accepted,
    callers there would be served under the old file for as long as the cut lasts."""

    async def test():
        async with run_fleet(*FLEET) as fleet:
            await apply(fleet, "one", make_text())
            await until(lambda: in_force_everywhere(fleet, 1))
            fleet.routers[3].cut()
            refused = await apply(fleet, "two", make_text("s"))
            assert isinstance(refused, Refused) and "zadar-c" in refused.reasons[0]
            assert fleet.routers[3].task.view.configuration.routes[0].name == "r"
            fleet.routers[3].join()
            assert await apply(fleet, "three", make_text("s")) == Accepted(3, "three")
            await until(lambda: in_force_everywhere(fleet, 3))

    run(test)


def test_data_centre_cut_off_after_its_acknowledgement_serves_what_both_allow():
    """A data centre acknowledges and is cut off before it learns the decision. It can't
    know which file is in force; callers of what only one allows are told so, callers
    of the rest are served; peers bring the decision before the platform is back."""

    async def test():
        async with run_fleet(*FLEET) as fleet:
            await apply(fleet, "one", make_text())
            await until(lambda: in_force_everywhere(fleet, 1))
            last = fleet.routers[3]
            # One data centre is late, so that the last one is cut off in between.
            fleet.routers[2].platform.set_cut(True)
            async with anyio.create_task_group() as group:
                answers = []

                async def submit():
                    slow = SubmissionTimes(10.0, 5.0, 0.02)
                    text = make_text("s")
                    answers.append(await apply(fleet, "two", text, times=slow))

                group.start_soon(submit)
                await until(lambda: "zadar-c" in list_acknowledged(fleet, 2))
                last.cut()
                fleet.routers[2].platform.set_cut(False)
            assert answers == [Accepted(2, "two")]
            await until(lambda: last.task.view.undecided.routes == {"r", "s"})
            view = last.task.view
            assert view.number == 1 and view.configuration.routes == ()
            assert view.configuration.accounts and not view.doubtful
            last.cut(platform=True, peers=False)
            await until(lambda: last.number == 2)
            assert last.task.view.configuration.routes[0].name == "s"

    run(test)


@pytest.mark.parametrize("count", [2, 5])
def test_of_several_operators_one_wins_whole(count):
    """Operators apply different files at the same moment. Were two accepted, the later
    one would undo the earlier without anybody being told."""

    async def test():
        async with run_fleet(*FLEET) as fleet:
            await apply(fleet, "zero", make_text())
            answers = {}

            async def submit(number):
                text = make_text(f"route-{number}")
                answers[number] = await apply(fleet, f"command-{number}", text)

            async with anyio.create_task_group() as group:
                for number in range(count):
                    group.start_soon(submit, number)
            accepted = [n for n, a in answers.items() if isinstance(a, Accepted)]
            assert len(accepted) == 1
            beaten = [a for n, a in answers.items() if n not in accepted]
            assert all(isinstance(a, Outrun) for a in beaten)
            assert {(a.number, a.author) for a in beaten} == {(2, "ann")}
            changes = {str(d) for d in beaten[0].differences}
            assert f"routes/route-{accepted[0]} removed" in changes
            assert len(await list_audit(fleet, Kind.ACCEPTED)) == 2

    run(test)


@pytest.mark.parametrize("lost", [1, 2, 4, 6])
def test_lost_answers_change_nothing(lost):
    """The platform's answers get lost after the writes took effect, at the operator's
    and at the routers'. The operator is told the truth; one entry in the trail."""

    async def test():
        async with run_fleet(*FLEET) as fleet:
            for router in fleet.routers:
                router.platform.lose = lost
            platform = MemoryPlatform(fleet.store)
            platform.lose = lost
            answer = await apply(fleet, "one", make_text(), platform=platform)
            assert answer == Accepted(1, "one")
            assert await make_submission(fleet, "one").ask() == answer
            await until(lambda: in_force_everywhere(fleet, 1))
            assert len(await list_audit(fleet, Kind.ACCEPTED)) == 1

    run(test)


def test_write_that_lands_late_harms_nothing():
    """The operator's proposal hangs on the way while they are told to ask again, and
    lands after another file came into force. It must not open an old proposal."""

    async def test():
        async with run_fleet("split-a-1") as fleet:
            platform = MemoryPlatform(fleet.store)
            platform.hang = 10**6
            short = SubmissionTimes(0.1, 0.1, 0.02)
            answer = await apply(
                fleet, "one", make_text(), platform=platform, times=short
            )
            assert isinstance(answer, Refused | Unsettled)
            assert await apply(fleet, "two", make_text("s")) == Accepted(1, "two")
            platform.land_late()
            state = decode_state(fleet.store.objects[STATE_KEY][0])
            assert state.proposal.stage is Stage.DECIDED
            assert state.proposal.identity == "two"

    run(test)


@pytest.mark.parametrize("key", ["config/file/", STATE_KEY, ACKS_KEY, "audit/head"])
def test_platform_outage_after_each_step_ends_in_a_true_answer(key):
    """The platform goes away right after one of the writes. Whatever the operator is
    told then, or by asking again, agrees with what the routers have in force."""

    async def test():
        async with run_fleet(*FLEET) as fleet:
            await apply(fleet, "one", make_text())
            await until(lambda: in_force_everywhere(fleet, 1))
            put = fleet.store.put

            def put_and_fail(name, value, expected):
                outcome = put(name, value, expected)
                if name.startswith(key):
                    fleet.store.put = put
                    fleet.store.away = True
                    fleet.store.wake()
                return outcome

            fleet.store.put = put_and_fail
            answers = []
            async with anyio.create_task_group() as group:

                async def submit():
                    answers.append(await apply(fleet, "two", make_text("s")))

                group.start_soon(submit)
                await until(lambda: fleet.store.away)
                await anyio.sleep(0.3)
                fleet.store.away = False
            answer = answers[0]
            if isinstance(answer, Unsettled):
                answer = await make_submission(fleet, "two").ask()
            if isinstance(answer, Accepted):
                await until(lambda: in_force_everywhere(fleet, 2))
            else:
                assert isinstance(answer, Refused)
                assert in_force_everywhere(fleet, 1)

    run(test)


def test_operator_dies_and_the_routers_settle_the_proposal():
    """The operator's command is killed right after it proposed. Without somebody else
    to settle it no file could be applied any more."""

    async def test():
        async with run_fleet(*FLEET) as fleet:
            for cut, stage in ((None, Stage.DECIDED), (3, Stage.WITHDRAWN)):
                if cut is not None:
                    fleet.routers[cut].cut()
                with anyio.CancelScope() as scope:
                    fleet.store.put_was = fleet.store.put

                    def put_and_die(name, value, expected):
                        outcome = fleet.store.put_was(name, value, expected)
                        if name == STATE_KEY:
                            fleet.store.put = fleet.store.put_was
                            scope.cancel()
                        return outcome

                    fleet.store.put = put_and_die
                    await apply(fleet, f"to-{stage.value}", make_text(stage.value))
                await until(
                    lambda: (
                        decode_state(fleet.store.objects[STATE_KEY][0]).proposal.stage
                        is stage
                    )
                )

    run(test)


def test_dead_router_holds_a_change_up_until_it_is_fenced():
    """A router dies or is paused. Its data centre can't say whether it would wake up
    and serve the old file, so the change waits until the router is fenced."""

    async def test():
        async with run_fleet(*FLEET) as fleet:
            await apply(fleet, "one", make_text())
            await until(lambda: in_force_everywhere(fleet, 1))
            await fleet.kill(fleet.routers[1])
            refused = await apply(fleet, "two", make_text("s"))
            assert isinstance(refused, Refused) and "split-a" in refused.reasons[0]
            fleet.fence(fleet.routers[1])
            assert await apply(fleet, "three", make_text("s")) == Accepted(3, "three")

    run(test)


def test_replaced_router_never_starts_from_an_older_version():
    """All routers of a data centre are replaced while the platform is away. The new
    ones take the version from the old ones, and take no work before they have it."""

    async def test():
        async with run_fleet(*FLEET) as fleet:
            await apply(fleet, "one", make_text())
            old = await fleet.routers[0].platform.read(STATE_KEY)
            await apply(fleet, "two", make_text("s"))
            await until(lambda: in_force_everywhere(fleet, 2))
            fleet.store.away = True
            fleet.store.wake()
            new = Router(fleet, "split-b-9", "split-b")
            assert new.task.view.configuration is None
            await fleet.start(fleet.group, new, register=False)
            await until(lambda: new.task.view.configuration is not None)
            await fleet.kill(fleet.routers[2])
            assert new.task.view.configuration.routes[0].name == "s"
            # The platform comes back with an answer from before the second file.
            new.platform.stale[STATE_KEY] = old
            fleet.store.away = False
            new.register()
            reads = fleet.store.calls["read"]
            await until(lambda: fleet.store.calls["read"] > reads + 10)
            assert new.number == 2

    run(test)


def test_router_alone_takes_no_work_and_comes_back():
    """A router hears neither the platform nor the others of its data centre, or was
    paused. It may have been fenced, and the others may have gone on to another file;
    what it would answer meanwhile could be untrue."""

    async def test():
        async with run_fleet(*FLEET) as fleet:
            await apply(fleet, "one", make_text())
            await until(lambda: in_force_everywhere(fleet, 1))
            alone = fleet.routers[0]
            joined = fleet.joined
            fleet.joined = lambda a, b: alone not in (a, b) and joined(a, b)
            alone.platform.set_cut(True)
            await until(lambda: alone.task.view.doubtful)
            fleet.fence(alone)
            assert await apply(fleet, "two", make_text("s")) == Accepted(2, "two")
            assert alone.number == 1 and alone.task.view.doubtful
            fleet.joined = joined
            alone.platform.set_cut(False)
            await until(lambda: alone.number == 2 and not alone.task.view.doubtful)

    run(test)


def test_stale_read_brings_no_old_version_back():
    """The platform answers a read with an old value after a newer one was seen."""

    async def test():
        async with run_fleet("split-a-1") as fleet:
            platform = fleet.routers[0].platform
            await apply(fleet, "one", make_text())
            await until(lambda: in_force_everywhere(fleet, 1))
            platform.stale[STATE_KEY] = await platform.read(STATE_KEY)
            with anyio.move_on_after(0.3):
                await apply(fleet, "two", make_text("s"))
            assert fleet.routers[0].number == 1
            platform.stale.clear()
            await until(lambda: in_force_everywhere(fleet, 2))

    run(test)


def test_file_may_not_change_the_tokens_with_which_a_budget_was_opened():
    """An operator edits `opening_tokens` to top a budget up. Nobody could say whether
    the figure adds to the old one; it is refused with the way to do it."""

    async def test():
        async with run_fleet("split-a-1") as fleet:
            await apply(fleet, "one", make_text())
            text = make_file(budgets=[{"name": "b", "opening_tokens": 6}])
            refused = await apply(fleet, "two", text)
            assert isinstance(refused, Refused) and "top-up" in refused.reasons[0]
            faulty = json.dumps({"budgets": []})
            assert len((await apply(fleet, "three", faulty)).reasons) == 3

    run(test)


@pytest.mark.parametrize("value", [b"", b"\xff", b"[]", b'{"in_force": 3}', b"1"])
def test_object_of_an_unknown_form_stops_no_router(value):
    """Another version of the programs, or a hand, has written an object that these
    routers can't read. All of them would end at once, and after each restart again."""

    async def test():
        async with run_fleet(*FLEET) as fleet:
            await apply(fleet, "one", make_text())
            await until(lambda: in_force_everywhere(fleet, 1))
            good = dict(fleet.store.objects)
            keys = [STATE_KEY, ACKS_KEY, "audit/head", "registry/split-a"]
            keys += [key for key in good if key.startswith("config/file/")]
            for key in keys:
                fleet.store.put(key, value, fleet.store.objects[key][1])
            assert isinstance(await apply(fleet, "two", make_text("s")), Refused)
            for router in fleet.routers:
                assert router.number == 1
                assert not router.task.view.doubtful
            for key in keys:
                fleet.store.put(key, good[key][0], fleet.store.objects[key][1])
            assert await apply(fleet, "three", make_text("t")) == Accepted(2, "three")
            await until(lambda: in_force_everywhere(fleet, 2))

    run(test)
