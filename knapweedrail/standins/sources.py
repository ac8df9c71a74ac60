"""Finds which process opened a connection, so that a proxy can cut single links."""

from __future__ import annotations

import os

TCP_TABLE = "/proc/net/tcp"

LOCAL_COLUMN = 1
REMOTE_COLUMN = 2
INODE_COLUMN = 9

UNKNOWN_SOURCE = ""


class Sources:
    """Names of processes by their ids.

    All processes of a test share one address, and several routers reach a runner
    at the same port. The kernel's table of sockets says who is at the other end.
    """

    def __init__(self) -> None:
        self._processes: dict[str, int] = {}

    def set(self, name: str, process: int) -> None:
        """Give a process its name; a restarted one takes the name over."""
        self._processes[name] = process

    def find(self, near_port: int, far_port: int) -> str:
        """Return whose socket goes from ``near_port`` to ``far_port``."""
        inode = _find_inode(near_port, far_port)
        if inode is None:
            return UNKNOWN_SOURCE
        for name, process in self._processes.items():
            if _holds_socket(process, inode):
                return name
        return UNKNOWN_SOURCE


def _find_inode(near_port: int, far_port: int) -> str | None:
    with open(TCP_TABLE, encoding="ascii") as table:
        for line in table:
            columns = line.split()
            near = columns[LOCAL_COLUMN].rpartition(":")[2]
            far = columns[REMOTE_COLUMN].rpartition(":")[2]
            if (near, far) == (f"{near_port:04X}", f"{far_port:04X}"):
                return columns[INODE_COLUMN]
    return None


def _holds_socket(process: int, inode: str) -> bool:
    directory = f"/proc/{process}/fd"
    try:
        descriptors = os.listdir(directory)
    except OSError:
        return False  # The process has ended.
    for descriptor in descriptors:
        try:
            target = os.readlink(f"{directory}/{descriptor}")
        except OSError:
            continue  # Closed meanwhile.
        if target == f"socket:[{inode}]":
            return True
    return False
