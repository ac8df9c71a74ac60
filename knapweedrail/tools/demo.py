"""Show the whole path: stand-ins, a small fleet, real requests, budgets, audit trail.

Everything runs on this machine and stops at the end. Exit code 0 when each step came
out as it should, 1 otherwise.
"""

from __future__ import annotations

import argparse
import json
import pathlib
import re
import subprocess
import sys
import tempfile
import time
from collections.abc import Sequence

import attrs
import httpx

from .. import __version__

EXAMPLES = pathlib.Path(__file__).resolve().parent.parent / "examples"


@attrs.frozen
class Firm:
    """An example firm: routes of its engine and of its confirmations, and places."""

    engine: str
    confirmation: str
    data_centres: tuple[str, ...]


FIRMS = {
    "striga": Firm("gang-llm", "booking", ("split-a", "split-b", "zadar-c")),
    "kurogane": Firm("plan-llm", "confirm", ("fukuoka-a", "fukuoka-b", "kumamoto")),
}

START_SECONDS = 60.0
"""Longest wait for a process to be ready; generous for a busy machine."""


class Fleet:
    """Processes of one demonstration.

    Args:
        folder: Where settings files go.
    """

    def __init__(self, folder: pathlib.Path) -> None:
        self.folder = folder
        self.routers: list[subprocess.Popen] = []
        self.callers: list[str] = []
        self.admins: list[str] = []
        self._standins: list[subprocess.Popen] = []

    def start_standin(self, kind: str, *options: str) -> int:
        """Start a stand-in and return its port."""
        process = self._start("standins", kind, options)
        self._standins.append(process)
        return json.loads(process.stdout.readline())["port"]

    def start_routers(self, platform: str, data_centres: Sequence[str]) -> None:
        """Start two routers in each data centre, and wait until they are ready."""
        for data_centre in data_centres:
            for number in (1, 2):
                settings = {
                    "name": f"{data_centre}-{number}",
                    "data_centre": data_centre,
                    "platform": platform,
                    "caller_address": "127.0.0.1:0",
                    "peer_address": "127.0.0.1:0",
                    "admin_address": "127.0.0.1:0",
                    "log_file": str(self.folder / f"{data_centre}-{number}.log"),
                }
                path = self.folder / f"{data_centre}-{number}.jsonc"
                path.write_text(json.dumps(settings))
                options = ("--settings", str(path))
                self.routers.append(self._start("tools", "router", options))
        for process in self.routers:
            ports = json.loads(process.stdout.readline())
            self.callers.append(f"http://127.0.0.1:{ports['caller_port']}")
            self.admins.append(f"http://127.0.0.1:{ports['admin_port']}")

    def wait_ready(self) -> None:
        """Wait until all routers say that they are ready.

        Raises:
            TimeoutError: If one isn't within `START_SECONDS`.
        """
        deadline = time.monotonic() + START_SECONDS
        for admin in self.admins:
            while httpx.get(f"{admin}/readyz").status_code != 200:
                if time.monotonic() > deadline:
                    raise TimeoutError(f"{admin} did not become ready")
                time.sleep(0.05)

    def stop_routers(self) -> list[int]:
        """Ask all routers to stop in good order; return their exit codes."""
        for process in self.routers:
            process.terminate()
        return [process.wait(START_SECONDS) for process in self.routers]

    def close(self) -> None:
        """End whatever still runs."""
        for process in [*self.routers, *self._standins]:
            if process.poll() is None:
                process.kill()
            process.wait()

    def _start(
        self, package: str, module: str, options: Sequence[str]
    ) -> subprocess.Popen:
        return subprocess.Popen(
            [sys.executable, "-m", f"knapweedrail.{package}.{module}", *options],
            stdout=subprocess.PIPE,
            text=True,
        )


def run_operator(platform: str, *arguments: str) -> str:
    """Run the operator's command and return what it printed.

    Raises:
        subprocess.CalledProcessError: If it didn't end well.
    """
    command = [sys.executable, "-m", "knapweedrail.tools.operator"]
    command += ["--platform", platform, *arguments]
    done = subprocess.run(command, stdout=subprocess.PIPE, text=True, check=True)
    return done.stdout.strip()


def place_runners(text: str, fleet: Fleet) -> str:
    """Start a stand-in for each runner of an example file; put its address in."""
    pattern = re.compile(r'"name": "([a-z]+-([a-z]+)-\d)", "address": "([0-9.:]+)"')
    for match in pattern.finditer(text):
        kind = "engine" if match[2] == "llm" else "booking"
        port = fleet.start_standin(kind)
        text = text.replace(f'"{match[3]}"', f'"127.0.0.1:{port}"')
    return text


def ask(base: str, key: str, model: str, streamed: bool, identity: str) -> str:
    """Send one request for an answer; return what came, in one line."""
    body = {
        "model": model,
        "messages": [{"role": "user", "content": "Draft a plan for the week."}],
        "max_tokens": 24,
        "stream": streamed,
    }
    headers = {"Authorization": f"Bearer {key}", "Idempotency-Key": identity}
    url = f"{base}/v1/chat/completions"
    if not streamed:
        answer = httpx.post(url, json=body, headers=headers, timeout=30).json()
        if "choices" not in answer:
            return f"{answer['title']} ({answer['ran']}): {answer['detail']}"
        text = answer["choices"][0]["message"]["content"]
        return f"{text!r} {answer['usage']}"
    texts = []
    with httpx.stream("POST", url, json=body, headers=headers, timeout=30) as lines:
        for line in lines.iter_lines():
            if line == "data: [DONE]":
                return f"{''.join(texts)!r} and the end mark"
            if line.startswith("data: "):
                for choice in json.loads(line[6:]).get("choices", ()):
                    texts.append(choice["delta"].get("content") or "")
    return f"{''.join(texts)!r} without the end mark"


def confirm(base: str, key: str, route: str, identity: str) -> str:
    """Confirm a slot, a call that runs at most once; return what came."""
    headers = {
        "Authorization": f"Bearer {key}",
        "Idempotency-Key": identity,
        "X-Not-Repeatable": "true",
    }
    url = f"{base}/services/{route}/slots/17/confirm"
    answer = httpx.post(url, json={"slot": 17}, headers=headers, timeout=30)
    return f"{answer.status_code} {answer.text}"


def show_firm(name: str, folder: pathlib.Path) -> bool:
    """Run the demonstration for one firm; say whether all went well."""
    example = FIRMS[name]
    key = f"{name}-demo-key-1"
    fleet = Fleet(folder)
    try:
        platform = f"http://127.0.0.1:{fleet.start_standin('platform')}"
        text = place_runners((EXAMPLES / f"{name}.jsonc").read_text(), fleet)
        path = folder / f"{name}.jsonc"
        path.write_text(text)
        fleet.start_routers(platform, example.data_centres)
        hosts = [
            {"name": f"{place}-{number}", "data_centre": place, "state": "live"}
            for place in example.data_centres
            for number in (1, 2)
        ]
        httpx.post(f"{platform}/hosts", json={"hosts": hosts}).raise_for_status()
        places = ", ".join(example.data_centres)
        print(f"== {name}: {len(fleet.routers)} routers in {places}")
        print(run_operator(platform, "apply", str(path), "--author", "demo"))
        fleet.wait_ready()
        good = show_requests(fleet, key, example)
        print(run_operator(platform, "budgets"))
        print(run_operator(platform, "audit"))
        codes = fleet.stop_routers()
        print(f"routers stopped with exit codes {codes}")
        print(run_operator(platform, "budgets"))
        return good and not any(codes)
    finally:
        fleet.close()


def show_requests(fleet: Fleet, key: str, firm: Firm) -> bool:
    """Send requests to several routers; say whether they came out as they should."""
    first, second, last = fleet.callers[0], fleet.callers[1], fleet.callers[-1]
    streamed = ask(first, key, firm.engine, True, "plan-1")
    again = ask(second, key, firm.engine, False, "plan-1")
    confirmed = confirm(first, key, firm.confirmation, "slot-17")
    repeated = confirm(last, key, firm.confirmation, "slot-17")
    print("streamed:      ", streamed)
    print("the same again:", again)
    print("another, whole:", ask(last, key, firm.engine, False, "plan-2"))
    print("wrong key:     ", ask(first, "no-such-key", firm.engine, False, "plan-3"))
    print("confirmation:  ", confirmed)
    print("the same again:", repeated)
    same = streamed.split("'")[1] == again.split("'")[1]
    return same and confirmed == repeated


def main(argv: Sequence[str] | None = None) -> int:
    """Run the program."""
    parser = argparse.ArgumentParser(prog="knapweedrail-demo", description=__doc__)
    parser.add_argument("--version", action="version", version=__version__)
    parser.add_argument("--firm", choices=[*FIRMS, "both"], default="both")
    arguments = parser.parse_args(argv)
    firms = FIRMS if arguments.firm == "both" else (arguments.firm,)
    good = True
    for firm in firms:
        with tempfile.TemporaryDirectory() as folder:
            good = show_firm(firm, pathlib.Path(folder)) and good
    return 0 if good else 1


if __name__ == "__main__":
    raise SystemExit(main())
