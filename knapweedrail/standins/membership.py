"""Stand-in of routers without requests: only their memberships, for measurements."""

from __future__ import annotations

import argparse
import json
import os
import socket
import stat
import struct
import time
from collections.abc import Sequence

import anyio
import attrs

from ..homes import HomeTable, RunFinder
from ..members import MembershipSettings, MembershipTask
from ..peers import PeerClients, PeerHandler, PeerServer
from ..platforms import HttpPlatform
from ..wire.peers_pb2 import Exchange, FindRunReply, FindRunRequest
from .serving import print_ready

TCP_COUNTS = struct.Struct("=120xQQII")
"""Start of the kernel's TCP_INFO up to bytes acknowledged, bytes received, segments
sent and segments received."""

SEGMENT_BYTES = 66
"""Ethernet, IP and TCP headers of one segment, which the kernel's counts leave out."""

POLL_SECONDS = 0.05

KEEP_SECONDS = 60.0


class Handler(PeerHandler):
    """Answers exchanges and questions for runs."""

    task: MembershipTask
    finder: RunFinder

    async def trade(self, exchange: Exchange) -> Exchange:
        return await self.task.trade(exchange)

    async def find_run(self, request: FindRunRequest) -> FindRunReply:
        return self.finder.answer(request)

    async def hand_over(self, request: object) -> object:
        raise NotImplementedError

    fence = follow = fetch_configuration = hand_over


class Member:
    """One router's membership with its sockets."""

    def __init__(self, name: str, data_centre: str, platform: str, beat: float) -> None:
        self.handler = Handler()
        self.server = PeerServer(self.handler, "127.0.0.1:0")
        self.clients = PeerClients()
        self.platform = HttpPlatform(platform)
        self.server.bind()
        settings = MembershipSettings(
            name,
            name,
            data_centre,
            self.server.address,
            heartbeat_seconds=beat,
        )
        self.task = MembershipTask(settings, self.platform, self.clients)
        self.handler.task = self.task
        self.handler.finder = RunFinder(
            self.task, self.clients, HomeTable(KEEP_SECONDS)
        )

    async def start(self, group: anyio.abc.TaskGroup) -> None:
        """Serve peers and join."""
        await self.platform.start()
        await self.server.start()
        await self.task.start(group)


@attrs.frozen
class Counts:
    """Counts of this process since its start."""

    wall: float
    processor: float
    sent: int
    received: int


def read_counts() -> Counts:
    """Read processor time and the bytes of all open TCP sockets."""
    sent = received = 0
    for name in os.listdir("/proc/self/fd"):
        try:
            if not stat.S_ISSOCK(os.fstat(int(name)).st_mode):
                continue
            with socket.socket(fileno=os.dup(int(name))) as copy:
                info = copy.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 256)
        except OSError:
            continue
        if len(info) < TCP_COUNTS.size:
            continue
        acknowledged, got, segments_out, segments_in = TCP_COUNTS.unpack_from(info)
        sent += acknowledged + SEGMENT_BYTES * segments_out
        received += got + SEGMENT_BYTES * segments_in
    return Counts(time.monotonic(), time.process_time(), sent, received)


def read_memory() -> int:
    """Return the resident memory of this process in bytes."""
    with open("/proc/self/statm", encoding="ascii") as file:
        return int(file.read().split()[1]) * os.sysconf("SC_PAGE_SIZE")


async def measure(member: Member, arguments: argparse.Namespace) -> dict[str, float]:
    """Measure one router over a time, then the search for runs."""
    await anyio.sleep(arguments.settle)
    before = read_counts()
    await anyio.sleep(arguments.seconds)
    after = read_counts()
    wall = after.wall - before.wall
    figures = {
        "core": (after.processor - before.processor) / wall,
        "sent": (after.sent - before.sent) / wall,
        "received": (after.received - before.received) / wall,
        "memory": read_memory(),
        "members": len(member.task.members()),
        "alive": sum(item.alive for item in member.task.own_data_centre_members()),
    }
    figures.update(await measure_finds(member, arguments.finds))
    return figures


async def measure_finds(member: Member, count: int) -> dict[str, float]:
    """Ask homes for runs one after another."""
    times = []
    processor = time.process_time()
    for number in range(count):
        began = time.perf_counter()
        await member.handler.finder.find("account", f"identity-{number}", "content")
        times.append(time.perf_counter() - began)
    processor = time.process_time() - processor
    times.sort()
    return {
        "find_p50": times[count // 2],
        "find_p99": times[count * 99 // 100],
        "find_processor": processor / count,
    }


async def serve(arguments: argparse.Namespace) -> None:
    """Run the members; measure the first one when asked to."""
    async with anyio.create_task_group() as group:
        members = []
        for place in arguments.places.split(","):
            data_centre, name = place.split("/")
            member = Member(name, data_centre, arguments.platform, arguments.beat)
            members.append(member)
            await member.start(group)
        while not all(member.task.registered for member in members):
            await anyio.sleep(POLL_SECONDS)
        print_ready()
        if arguments.seconds:
            first = members[0]
            while len(first.task.members()) < arguments.members:
                await anyio.sleep(POLL_SECONDS)
            print(json.dumps(await measure(first, arguments)), flush=True)
        await anyio.sleep_forever()


def main(argv: Sequence[str] | None = None) -> None:
    """Run the stand-in."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--platform", required=True, help="base URL")
    parser.add_argument("--places", required=True, help="data centre/name,...")
    parser.add_argument("--beat", type=float, default=1.0, help="heartbeat seconds")
    parser.add_argument("--members", type=int, default=0, help="others to wait for")
    parser.add_argument("--settle", type=float, default=5.0, help="seconds before")
    parser.add_argument("--seconds", type=float, default=0.0, help="0: don't measure")
    parser.add_argument("--finds", type=int, default=500, help="searches for runs")
    anyio.run(serve, parser.parse_args(argv))


if __name__ == "__main__":
    main()
