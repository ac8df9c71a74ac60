"""Print docs/EVENTS.md from the catalogue of events."""

from __future__ import annotations

import argparse
from collections.abc import Sequence

from .. import __version__
from ..events import Event

HEAD = """# Events

Each line of a router's log is a JSON object whose `message_type` is an event's number
and name, such as `101 router_started`. Numbers are stable: a script may filter by them.
Areas: 1xx process, 2xx platform, 3xx budgets and claims, 4xx configuration, 5xx members
and peers, 6xx requests, 7xx endpoints. `knapweedrail-catalogue` prints this page.

| number | name | meaning |
| --- | --- | --- |"""


def main(argv: Sequence[str] | None = None) -> int:
    """Run the program."""
    parser = argparse.ArgumentParser(prog="knapweedrail-catalogue", description=__doc__)
    parser.add_argument("--version", action="version", version=__version__)
    parser.parse_args(argv)
    print(HEAD)
    for event in sorted(Event, key=lambda event: event.number):
        print(f"| {event.number} | `{event.name.lower()}` | {event.meaning} |")
    return 0


if __name__ == "__main__":
    raise SystemExit(main())
