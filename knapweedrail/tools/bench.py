"""Run one of the measurements in `benches` and print its tables."""

from __future__ import annotations

import argparse
import importlib
import pkgutil
from collections.abc import Sequence
from types import ModuleType

from .. import __version__, benches


def load_benches() -> dict[str, ModuleType]:
    """Import every module in `benches`, by name."""
    return {
        info.name: importlib.import_module(f"{benches.__name__}.{info.name}")
        for info in pkgutil.iter_modules(benches.__path__)
    }


def build_parser(modules: dict[str, ModuleType]) -> argparse.ArgumentParser:
    """Make the parser with one subcommand for each measurement."""
    parser = argparse.ArgumentParser(prog="knapweedrail-bench", description=__doc__)
    parser.add_argument("--version", action="version", version=__version__)
    commands = parser.add_subparsers(dest="bench", required=True)
    for name, module in sorted(modules.items()):
        summary = (module.__doc__ or "").strip().splitlines()[0]
        module.add_arguments(commands.add_parser(name, help=summary))
    return parser


def main(argv: Sequence[str] | None = None) -> int:
    """Run the program; exit code 0 when the measurement met what it checks."""
    modules = load_benches()
    arguments = build_parser(modules).parse_args(argv)
    return modules[arguments.bench].run(arguments)


if __name__ == "__main__":
    raise SystemExit(main())
