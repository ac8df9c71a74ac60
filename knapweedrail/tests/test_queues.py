"""Tests of the fair queue."""

from hypothesis import given
from hypothesis import strategies as st

from ..queues import Entry, FairQueue
from ..work import Work

ACCOUNTS = ("a", "b", "c")


class FirstComeQueue(FairQueue):
    """Serves by arrival alone."""

    def __init__(self):
        super().__init__()
        self._order = []

    def push(self, entry):
        super().push(entry)
        self._order.append(entry)

    def pop(self, only_short=False):
        while self._order:
            entry = self._order.pop(0)
            if entry.waiting:
                self.remove(entry)
                return entry
        return None


def make_entry(number, account="a", short=True, cost=1.0, weight=1.0):
    work = Work(f"w{number}", account, 100.0, weight=weight, short=short)
    return Entry(work, cost, 0.0)


def serve(queue, seconds):
    """Serve so many slot seconds; return what each account and class got."""
    served = {}
    while seconds > 0 and (entry := queue.pop()) is not None:
        key = (entry.work.account, entry.work.short)
        served[key] = served.get(key, 0.0) + entry.cost
        seconds -= entry.cost
    return served


def fill(queue):
    """One account floods the queue before two others come."""
    for number in range(300):
        queue.push(make_entry(number, "a"))
    for number in range(300, 340):
        queue.push(make_entry(number, "b"))
        queue.push(make_entry(1000 + number, "c", weight=2.0))


def test_an_account_that_floods_the_queue_holds_nobody_up():
    """One client account sends three hundred requests at once. The others, who send
    few, shouldn't wait for all of them."""
    queue = FairQueue()
    fill(queue)
    served = serve(queue, 60.0)
    assert served["c", True] >= 1.8 * served["a", True]
    assert abs(served["a", True] - served["b", True]) <= 2.0
    wrong = FirstComeQueue()
    fill(wrong)
    assert ("b", True) not in serve(wrong, 60.0)


def test_long_and_short_work_bound_each_others_waits():
    """Questions and rosters flood the queue together. Neither kind may wait until the
    other has ended."""
    queue = FairQueue()
    for number in range(50):
        queue.push(make_entry(number, "a", short=False, cost=20.0))
    for number in range(2000):
        queue.push(make_entry(1000 + number, "b", short=True))
    served = serve(queue, 400.0)
    assert abs(served["a", False] - served["b", True]) <= 20.0
    late = make_entry(9999, "c", short=True)
    queue.push(late)
    waited = 0.0
    while (entry := queue.pop()) is not late:
        waited += entry.cost
    assert waited <= 24.0


def test_an_idle_account_saves_up_no_turns():
    """An account comes back after hours. If it could claim what it didn't use, its
    burst would shut everyone else out."""
    queue = FairQueue()
    for number in range(100):
        queue.push(make_entry(number, "a"))
    serve(queue, 50.0)
    for number in range(200, 260):
        queue.push(make_entry(number, "b"))
    served = serve(queue, 40.0)
    assert abs(served["a", True] - served["b", True]) <= 2.0


STEPS = st.lists(
    st.tuples(
        st.sampled_from(["push", "push", "pop", "short", "remove", "back"]),
        st.sampled_from(ACCOUNTS),
        st.booleans(),
        st.floats(0.01, 30.0),
    ),
    max_size=80,
)


@given(STEPS)
def test_nothing_is_lost_or_served_twice(steps):
    """Work is cancelled, refused and given back while it waits. A request that got
    lost would leave its caller without any answer."""
    queue = FairQueue()
    waiting: dict[str, Entry] = {}
    for number, (step, account, short, cost) in enumerate(steps):
        if step == "push":
            entry = make_entry(number, account, short, cost)
            waiting[entry.work.id] = entry
            queue.push(entry)
        elif step == "remove" and waiting:
            queue.remove(waiting.pop(sorted(waiting)[0]))
        elif step in ("pop", "short", "back"):
            entry = queue.pop(only_short=step == "short")
            expected = [e for e in waiting.values() if step != "short" or e.work.short]
            assert (entry is None) == (not expected)
            if entry is not None and step == "back":
                queue.push_front(entry)
            elif entry is not None:
                assert waiting.pop(entry.work.id) is entry
        assert len(queue) == len(waiting)
        assert {e.work.id for e, _ in queue.list_waits()} == set(waiting)
    served = [entry.work.id for entry in iter(queue.pop, None)]
    assert sorted(served) == sorted(waiting)


@given(STEPS)
def test_the_estimate_of_work_ahead_is_an_upper_bound_without_newcomers(steps):
    """A wait that is estimated too short lets work in that must be refused later."""
    queue = FairQueue()
    for number, (_, account, short, cost) in enumerate(steps):
        queue.push(make_entry(number, account, short, cost))
    late = make_entry(1000, "a", True, 1.0)
    ahead = queue.measure_ahead(late.work, late.cost)
    queue.push(late)
    waited = 0.0
    while (entry := queue.pop()) is not late:
        waited += entry.cost
    # Each account and either class may be one piece of work ahead of its turn.
    assert waited <= ahead + 30.0 * (len(ACCOUNTS) + 1)
