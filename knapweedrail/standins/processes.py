"""Processes that tests, measurements and the demonstration start and end."""

from __future__ import annotations

import json
import signal
import subprocess
import sys
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

import httpx

READY_SECONDS = 20.0
"""Longest start of a process on a busy machine; a test fails after it."""

CONDITION_SECONDS = 20.0
"""Longest wait for a condition; a test fails after it."""

POLL_SECONDS = 0.02

STANDINS = "knapweedrail.standins"


class Process:
    """One process of a test: started, signalled and ended by its own id.

    Args:
        module: The module to run.
        options: Command-line options.
        log: File that the process's output goes to; without one, its first line is
            read for its ports.
        code: Checkout to run the module of; without one, this one.
    """

    def __init__(
        self,
        module: str,
        *options: str,
        log: Path | None = None,
        code: Path | None = None,
    ) -> None:
        self.log = log
        self._code = code
        self.command = [sys.executable, "-m", module, *options]
        self.ports: dict[str, int] = {}
        self._child: subprocess.Popen | None = None

    def start(self) -> None:
        """Start without waiting; `wait_ready` waits."""
        if self.log is None:
            self._child = subprocess.Popen(
                self.command, stdout=subprocess.PIPE, cwd=self._code
            )
            return
        with self.log.open("ab") as file:
            self._child = subprocess.Popen(
                self.command, stdout=file, stderr=file, cwd=self._code
            )

    def wait_ready(self) -> None:
        """Read the line in which the process tells its ports."""
        line = self._child.stdout.readline()
        if not line:
            raise RuntimeError(f"{self.command} ended with {self._child.wait()}")
        self.ports = json.loads(line)

    @property
    def id(self) -> int:
        """The process's id."""
        return self._child.pid

    def signal(self, number: int) -> None:
        """Send a signal to this process."""
        self._child.send_signal(number)

    def kill(self) -> None:
        """End the process at once, as a lost host does."""
        self._child.kill()
        self._child.wait()

    def freeze(self) -> None:
        """Stop the process without its noticing, until `resume`."""
        self.signal(signal.SIGSTOP)

    def resume(self) -> None:
        """Let a frozen process go on."""
        self.signal(signal.SIGCONT)

    def is_running(self) -> bool:
        """Say whether the process hasn't ended."""
        return self._child is not None and self._child.poll() is None

    def catches(self, number: int) -> bool:
        """Say whether the process has a handler of its own for a signal."""
        if not self.is_running():
            return False
        lines = Path(f"/proc/{self.id}/status").read_text().splitlines()
        masks = [line.split()[1] for line in lines if line.startswith("SigCgt:")]
        return bool(int(masks[0], 16) >> (number - 1) & 1)

    def wait(self, seconds: float = READY_SECONDS) -> int:
        """Wait for the end and return the exit code."""
        return self._child.wait(seconds)

    def close(self) -> None:
        """End the process if it still runs."""
        if self._child is None:
            return
        if self.is_running():
            self.kill()
        if self._child.stdout is not None:
            self._child.stdout.close()


class Standin(Process):
    """A stand-in, with its faults and counts over HTTP.

    Args:
        name: Module of the stand-in.
        options: Further command-line options.
    """

    def __init__(self, name: str, *options: str) -> None:
        super().__init__(f"{STANDINS}.{name}", *options)

    @property
    def address(self) -> str:
        """The stand-in's ``host:port``."""
        return f"127.0.0.1:{self.ports['port']}"

    def post(self, path: str, body: dict[str, Any]) -> dict[str, Any]:
        """Post a control message, past every proxy."""
        response = httpx.post(f"http://{self.address}{path}", json=body)
        response.raise_for_status()
        return response.json() if response.content else {}

    def get(self, path: str) -> dict[str, Any]:
        """Read a control page, past every proxy."""
        response = httpx.get(f"http://{self.address}{path}")
        response.raise_for_status()
        return response.json()

    def set_faults(self, **faults: Any) -> None:
        """Change what goes wrong."""
        self.post("/faults", faults)


def start_all(processes: list[Process]) -> None:
    """Start processes side by side and wait until all are ready."""
    for process in processes:
        process.start()
    for process in processes:
        process.wait_ready()


def wait_for(
    condition: Callable[[], Any], what: str, seconds: float = CONDITION_SECONDS
) -> Any:
    """Wait until ``condition`` gives something true, and return that.

    Raises:
        AssertionError: If it gives nothing true in time.
    """
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        value = condition()
        if value:
            return value
        time.sleep(POLL_SECONDS)
    raise AssertionError(f"waited {seconds} s in vain for {what}")
