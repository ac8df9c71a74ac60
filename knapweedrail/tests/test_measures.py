"""Metrics that are measured before the library that exports them is there."""

import threading

import anyio
import pytest

from ..measures import MANY_KEPT, MOST_KEPT, Measures
from ..relay import metrics as relay_measures


def read_values(text, name):
    lines = [line for line in text.decode().splitlines() if line.startswith(name)]
    return {line.rpartition(" ")[0]: float(line.rpartition(" ")[2]) for line in lines}


def test_what_was_measured_before_the_exporter_came_is_exported_with_the_rest():
    """A host has just started and is asked for its metrics for the first time. An
    operator who looks for the refusals of its first seconds must find them all."""
    measures = Measures()
    count = measures.make_counter("early_refusals", "d")
    pauses = measures.make_histogram("early_pauses", "d", [0.1, 1])
    measures.add_gauge("early_age", "d", lambda: {"list": 7.0})
    for round_number in (1, 2):
        count.add(1, {"kind": "a", "route": "r"})
        count.add(2, {"kind": "a", "route": "r"})
        count.add(5)
        pauses.record(0.05, {"route": "r"})
        pauses.record(0.5, {"route": "r"})
        assert not measures.exporting or round_number == 2
        text = measures.render()
        assert measures.exporting
        found = read_values(text, "early_refusals_total")
        assert found["early_refusals_total" + found_labels(found)] == 3 * round_number
        assert sorted(found.values()) == [3 * round_number, 5 * round_number]
        sums = read_values(text, "early_pauses_seconds_sum")
        assert list(sums.values()) == [pytest.approx(0.55 * round_number)]
        buckets = read_values(text, "early_pauses_seconds_bucket")
        expected = [round_number, 2 * round_number, 2 * round_number]
        assert list(buckets.values()) == expected
        assert list(read_values(text, "early_age").values()) == [7.0]
    late = measures.make_counter("late_refusals", "d")
    late.add(4)
    assert list(read_values(measures.render(), "late_refusals_total").values()) == [4]


def found_labels(found):
    (key,) = (key for key in found if 'kind="a"' in key and 'route="r"' in key)
    return key.removeprefix("early_refusals_total")


def test_a_process_that_nobody_asks_keeps_no_values_without_end():
    measures = Measures()
    pauses = measures.make_histogram("unasked", "d", [1])
    for _ in range(MANY_KEPT - 1):
        pauses.record(0.5)
    assert not measures.has_many
    pauses.record(0.5)
    assert measures.has_many and not measures.exporting
    for _ in range(MOST_KEPT - MANY_KEPT):
        pauses.record(0.5)
    assert measures.exporting and not measures.has_many
    counts = read_values(measures.render(), "unasked_seconds_count")
    assert list(counts.values()) == [MOST_KEPT]


@pytest.mark.anyio
async def test_streams_go_on_while_the_exporter_is_imported(monkeypatch):
    """Metrics are fetched during an incident. The import takes a tenth of a second and
    more on a small host; in the event loop all streams would pause for it."""
    threads = []

    def import_slowly():
        threads.append(threading.current_thread())
        return importer()

    importer = relay_measures.import_exporter
    monkeypatch.setattr(relay_measures, "import_exporter", import_slowly)
    measures = relay_measures.RelayMetrics()
    sent = []

    async def send(message):
        sent.append(message)

    async with anyio.create_task_group() as group:
        for _ in range(2):
            group.start_soon(measures.answer, {}, None, send)
    assert [m["status"] for m in sent if "status" in m] == [200, 200]
    assert threads and threading.main_thread() not in threads
