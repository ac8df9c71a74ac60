"""The audit trail: each change exactly once, through pages, races and lost answers."""

import random

import anyio
import pytest

from knapweedrail import audits
from knapweedrail.audits import AuditEntry, Kind, append_entries, read_entries
from knapweedrail.standins.memory import MemoryPlatform, MemoryStore
from knapweedrail.texts import PREFIX, load_text, store_text


def make_entry(number):
    return AuditEntry(f"change/{number}", Kind.TOP_UP, "ann", float(number), "b")


@pytest.mark.parametrize("lost", [0, 1, 3])
def test_each_change_stands_once_over_many_pages(monkeypatch, lost):
    """Several writers note the same changes, as each saw them, while pages fill up and
    answers get lost. A change that stands twice or never accounts for nothing."""
    monkeypatch.setattr(audits, "PAGE_BYTES", 2_000)

    async def write(platform, seed, number):
        if number % 7 == seed:
            platform.lose = lost
        pair = (make_entry(number), make_entry(number + 1))
        assert await append_entries(platform, pair, random.Random(seed)) is None

    async def test():
        store = MemoryStore()
        platforms = [MemoryPlatform(store, 0.0001) for _ in range(3)]
        for number in range(60):
            async with anyio.create_task_group() as group:
                for seed, platform in enumerate(platforms):
                    group.start_soon(write, platform, seed, number)
        entries = await read_entries(MemoryPlatform(store), pages=1000)
        identities = [entry.identity for entry in entries]
        assert sorted(identities) == sorted(f"change/{n}" for n in range(61))
        assert len([key for key in store.objects if key.startswith("audit/")]) > 3

    anyio.run(test)


def test_text_in_parts_is_whole_or_not_there(monkeypatch):
    """A large file is stored in parts and one of them is missing or broken; a router
    must not take the rest for the file."""
    monkeypatch.setattr("knapweedrail.texts.PART_BYTES", 50)

    async def test():
        store = MemoryStore()
        platform = MemoryPlatform(store)
        platform.lose = 2
        text = "".join(random.Random(1).choices("abcdef{}", k=500))
        assert await store_text(platform, text) is None
        digest = next(iter(store.objects)).removeprefix(PREFIX).partition("/")[0]
        assert await load_text(platform, digest) == text
        part = f"{PREFIX}{digest}/1"
        value, version = store.objects[part]
        store.put(part, value[:-1] + b"?", version)
        assert not isinstance(await load_text(platform, digest), str)
        del store.objects[part]
        assert not isinstance(await load_text(platform, digest), str)

    anyio.run(test)
