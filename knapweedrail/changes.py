"""Task that follows the configuration and takes part in deciding it."""

from __future__ import annotations

import random
import time
from abc import ABC, abstractmethod
from collections.abc import Callable

import anyio
import attrs

from .configuration import digest_text, read_configuration
from .decoding import decode_object
from .events import Event, log_event
from .models import Configuration, Holder
from .outcomes import Found, Unavailable
from .platforms import Changes, Platform
from .proposals import STATE_KEY, Proposal, State, Version, decode_state
from .tasks import Task
from .texts import load_text
from .updates import choose_pause
from .views import Follower, Report, View, know_state
from .votes import Voter

LARGE_TEXT = 65_536
"""Characters above which a text is checked on a thread, so that streams go on."""


SILENCE_CHECK_SECONDS = 0.25
"""Pause between two looks at whether a long watch must end: a newly registered router
takes no work before it has read the state, so this is what a start waits for."""


class Peers(ABC):
    """What the task needs of the other routers."""

    @abstractmethod
    async def fetch_text(self, digest: str) -> str | None:
        """Ask other routers for a text; ``None`` when none has it."""

    @abstractmethod
    def announce(self) -> None:
        """Report to the routers of the own data centre soon."""

    @abstractmethod
    def neighbours(self) -> frozenset[Holder]:
        """Return the other registered lives of the own data centre, as believed."""


@attrs.frozen
class Times:
    """Times of the task; none of them decides whether something is right.

    Attributes:
        watch_seconds: Length of one watch while nothing is open.
        press_seconds: Length of one watch while a proposal is open or no other
            router is heard: the platform's silence is noticed within it.
        doubt_seconds: Silence after which only the intersection is served.
        retry_seconds: Pause before a failed step is tried again.
        rank_seconds: How much longer each next router of a data centre waits before
            it does what the first one should have done.
        withdraw_seconds: Time after which an open proposal, whose operator must have
            died, is withdrawn by routers.
    """

    watch_seconds: float = 20.0
    press_seconds: float = 1.0
    doubt_seconds: float = 3.0
    retry_seconds: float = 0.5
    rank_seconds: float = 2.0
    withdraw_seconds: float = 30.0


@attrs.frozen
class Heard:
    """Another router's report."""

    holder: Holder
    report: Report


class ConfigurationTask(Task):
    """Follows the configuration for one router.

    Args:
        platform: The platform.
        data_centre: The router's data centre.
        holder: Gives the router's present life, ``None`` while it isn't registered.
        peers: The other routers.
        times: Times.
        rng: For jitter.
        now: Monotonic clock in seconds.
    """

    def __init__(
        self,
        platform: Platform,
        data_centre: str,
        holder: Callable[[], Holder | None],
        peers: Peers,
        times: Times = Times(),
        rng: random.Random | None = None,
        now: Callable[[], float] = time.monotonic,
    ) -> None:
        super().__init__("configuration")
        self.platform = platform
        self.holder = holder
        self.peers = peers
        self.times = times
        self.follower = Follower()
        self._now = now
        self._rng = rng or random.Random()
        self._voter = Voter(self, platform, data_centre, self._rng)
        self._state = State()
        self._state_version = 0
        self._logged_in_force = Version()
        self._logged_staged: Version | None = None
        self._texts: dict[str, str] = {}
        self._faulty: set[str] = set()
        self._news = anyio.Event()
        self._watch_scope: anyio.CancelScope | None = None
        self._confirmed_at = float("-inf")
        self._heard_at = now()

    @property
    def in_force(self) -> Version:
        """The version in force at this router."""
        return self.follower.in_force

    @property
    def staged(self) -> Version | None:
        """The proposal that this router holds."""
        return self.follower.staged

    @property
    def view(self) -> View:
        """What may be served now."""
        now = self._now()
        doubt = self.times.doubt_seconds
        confirmed = now - self._confirmed_at <= doubt
        silent = not confirmed and now - self._heard_at > doubt
        isolated = silent and bool(self.peers.neighbours())
        return self.follower.view(confirmed, isolated or self._is_new())

    def _is_new(self) -> bool:
        """Say whether this life hasn't read the state since it registered."""
        return not self.follower.has_entered(self.holder())

    def exchange(self) -> Report:
        """What to tell other routers."""
        return self.follower.report()

    def hear(
        self,
        number: int,
        digest: str,
        staged_number: int,
        staged_digest: str,
        from_holder: Holder,
    ) -> None:
        """Take in what another router told; an overfull inbox drops it."""
        report = Report(number, digest, staged_number, staged_digest)
        try:
            self.tell(Heard(from_holder, report))
        except anyio.WouldBlock:
            # The next exchange says the same again.
            pass

    def text_of(self, digest: str) -> str | None:
        """Return a text that is in force or staged here."""
        return self._texts.get(digest)

    def open_proposal(self) -> Proposal | None:
        """Return the open proposal that this router holds."""
        proposal = self._state.open()
        if proposal is None or proposal.version != self.follower.staged:
            return None
        return proposal

    def learn(self, state: State, version: int) -> None:
        """Take in the platform's state; one older than what is known is dropped."""
        if version <= self._state_version:
            return
        self._state = state
        self._state_version = version
        self.follower.learn(know_state(state))
        self._note()

    async def wait_news(self, seconds: float) -> None:
        """Wait until something is learned, and at most some seconds."""
        news = self._news
        with anyio.move_on_after(seconds):
            await news.wait()

    async def run(self) -> None:
        async with anyio.create_task_group() as group:
            group.start_soon(self._follow)
            group.start_soon(self._fetch)
            group.start_soon(self._watch_silence)
            group.start_soon(self._voter.run)
            async for envelope in self._receive:
                self._take_in(envelope.message)

    def _take_in(self, message: Heard) -> None:
        before = self.follower.knowledge
        if message.holder.incarnation:
            # Any registered router will do, of whatever data centre: unless it was
            # given up as well, no proposal was decided that it doesn't hold.
            self._heard_at = self._now()
        self.follower.hear(message.holder, message.report)
        self._note(changed=before != self.follower.knowledge)

    def _note(self, changed: bool = True) -> None:
        """Wake the loops; what changed is also told to the data centre."""
        if changed:
            self._log_versions()
            self._drop_texts()
            self.peers.announce()
        self._news.set()
        self._news = anyio.Event()

    def _log_versions(self) -> None:
        in_force, staged = self.follower.in_force, self.follower.staged
        if in_force != self._logged_in_force:
            log_event(Event.CONFIGURATION_IN_FORCE, number=in_force.number)
        if staged not in (None, self._logged_staged):
            log_event(Event.CONFIGURATION_STAGED, number=staged.number)
        self._logged_in_force, self._logged_staged = in_force, staged

    def _drop_texts(self) -> None:
        kept = {self.follower.in_force.digest}
        if self.follower.staged is not None:
            kept.add(self.follower.staged.digest)
        self._texts = {d: t for d, t in self._texts.items() if d in kept}

    def _is_pressing(self) -> bool:
        """Say whether the platform's silence must be noticed soon."""
        silence = self._now() - self._heard_at
        alone = silence > self.times.doubt_seconds / 3 and self.peers.neighbours()
        return self.follower.staged is not None or bool(alone) or self._is_new()

    def _must_read(self) -> bool:
        """Say whether a plain read comes before the next watch.

        While pressing, short watches confirm what is known, one call a second; a read
        is added only at first or when they fail.
        """
        age = self._now() - self._confirmed_at
        late = age > 2 * self.times.press_seconds
        return self._is_new() or (self._is_pressing() and late)

    async def _watch_silence(self) -> None:
        """End a long watch when its answer is needed sooner."""
        while True:
            await anyio.sleep(SILENCE_CHECK_SECONDS)
            if self._watch_scope is not None and self._is_pressing():
                self._watch_scope.cancel()

    async def _follow(self) -> None:
        revision = 0
        failures = 0
        while True:
            if self._must_read() and not await self._read_state():
                failures += 1
                await anyio.sleep(self._choose_retry(failures))
                continue
            started = self._now()
            changes = await self._watch(revision)
            if changes is None:
                continue
            if await self._take_changes(changes, started):
                failures = 0
                revision = changes.revision
                continue
            # The revision stays, so that the next watch gives the change again.
            failures += 1
            await anyio.sleep(self._choose_retry(failures))

    async def _take_changes(
        self, changes: Changes | Unavailable, started: float
    ) -> bool:
        if isinstance(changes, Unavailable):
            return False
        if changes.changes:
            return await self._read_state(max(c.version for c in changes.changes))
        self._confirmed_at = started
        return True

    def _choose_retry(self, failures: int) -> float:
        """Return the pause before the platform is asked again.

        Load: every router while the platform is away or slow. A fixed pause in step
        would bring them all back at once; the pause is never longer than
        `Times.retry_seconds` and a half, as a decision waits for it.
        """
        pause = self.times.retry_seconds
        return choose_pause(failures, self._rng) + self._rng.uniform(pause / 2, pause)

    async def _watch(self, revision: int) -> Changes | Unavailable | None:
        """Watch the state; ``None`` when the watch was ended."""
        pressing = self._is_pressing()
        times = self.times
        seconds = times.press_seconds if pressing else times.watch_seconds
        with anyio.CancelScope() as scope:
            # While pressing, the watch is short already and need not be ended.
            self._watch_scope = None if pressing else scope
            return await self.platform.watch(STATE_KEY, revision, seconds)
        return None

    async def _read_state(self, least: int = 0) -> bool:
        """Read the state; say whether it is as new as what is known.

        Args:
            least: Version that a watch told of; an older answer is a stale read.
        """
        started = self._now()
        holder = self.holder()
        found = await self.platform.read(STATE_KEY)
        least = max(least, self._state_version)
        if isinstance(found, Unavailable):
            return False
        version = found.version if isinstance(found, Found) else 0
        if version < least:
            return False
        state: State | Unavailable = State()
        if isinstance(found, Found):
            state = decode_object(STATE_KEY, found.value, decode_state)
        if isinstance(state, Unavailable):
            return False
        self.learn(state, version)
        self.follower.enter(holder, know_state(state))
        # The time at which the read began, since its answer may have waited in a
        # socket while this process was paused.
        self._confirmed_at = started
        return True

    async def _fetch(self) -> None:
        while True:
            news = self._news
            missing = False
            for version in self.follower.wanted():
                missing |= not await self._fetch_version(version)
            if missing:
                await anyio.sleep(self._choose_retry(1))
            elif news is self._news:
                await news.wait()

    async def _fetch_version(self, version: Version) -> bool:
        """Get a version's text and take it; say whether nothing is left to do."""
        if version.digest in self._faulty:
            return True
        text = await self._find_text(version)
        if text is None:
            return False
        found = await self._check(text, f"configuration {version.number}")
        if not isinstance(found, Configuration):
            self._faulty.add(version.digest)
            fault = str(found[0])
            log_event(Event.TEXT_REFUSED, number=version.number, fault=fault)
            await self._voter.refuse(version, fault)
            return True
        self._texts[version.digest] = text
        self.follower.take(version, found)
        self._note()
        return True

    async def _find_text(self, version: Version) -> str | None:
        if version.digest in self._texts:
            return self._texts[version.digest]
        text = await load_text(self.platform, version.digest)
        if not isinstance(text, Unavailable):
            return text
        log_event(Event.TEXT_MISSING, number=version.number, detail=text.detail)
        text = await self.peers.fetch_text(version.digest)
        if text is not None and digest_text(text) != version.digest:
            # A peer's answer that crossed with another one would stage a file that
            # nobody proposed.
            return None
        return text

    async def _check(self, text: str, name: str) -> Configuration | tuple:
        if len(text) < LARGE_TEXT:
            return read_configuration(text, name)
        return await anyio.to_thread.run_sync(read_configuration, text, name)
