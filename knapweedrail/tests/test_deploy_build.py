"""How the platform builds relays and starts them."""

import os
import pathlib
import shutil
import subprocess
import sys
import tomllib

import attrs

from .. import __version__

ROOT = pathlib.Path(__file__).parents[2]


def run(command, folder, **changes):
    path = f"{pathlib.Path(sys.executable).parent}:{os.environ['PATH']}"
    variables = os.environ | {"PATH": path, "PYTHONPATH": str(folder)} | changes
    return subprocess.run(
        command, cwd=folder, env=variables, capture_output=True, text=True, check=True
    )


def read_deployment():
    return tomllib.loads((ROOT / "deploy" / "system.toml").read_text())


def test_a_start_compiles_no_module_of_ours(tmp_path):
    """Python isn't allowed to keep byte code while the relay runs, and the checkout was
    copied since it was built. Each start of each host then compiles all modules of ours
    again, and callers wait a sixth longer for the first answer."""
    omitted = shutil.ignore_patterns("__pycache__", "tests")
    built = tmp_path / "built"
    shutil.copytree(ROOT / "knapweedrail", built / "knapweedrail", ignore=omitted)
    shutil.copytree(ROOT / "deploy", built / "deploy")
    os.utime(built / "deploy" / "requirements.txt", (0, 0))
    (built / "target" / "deps").mkdir(parents=True)
    run(["sh", "-c", read_deployment()["build"]], built, PYTHONDONTWRITEBYTECODE="1")
    copied = tmp_path / "copied"
    shutil.copytree(built, copied, copy_function=shutil.copyfile)
    program = "import sys, knapweedrail.tools.service"
    told = run(
        [sys.executable, "-v", "-c", program], copied, PYTHONDONTWRITEBYTECODE="1"
    ).stderr.splitlines()
    own = [line for line in told if f"{copied}/knapweedrail/" in line]
    compiled = [
        line
        for line in own
        if line.startswith("# code object from") and not line.endswith(".pyc'")
    ]
    assert any("tools/__pycache__/service" in line for line in own)
    assert compiled == []


def test_a_relay_runs_without_what_the_machine_has_installed(tmp_path):
    """A host's own Python has further packages, which our libraries use when they find
    them. Each start takes longer there, and fails there alone when one is broken."""
    (tmp_path / "sitecustomize.py").write_text("print('taken from the machine')")
    program, *words = read_deployment()["roles"]["relay"]["run"].split()
    assert program == "python3"
    libraries = pathlib.Path(attrs.__file__).parents[1]
    found = run(
        [sys.executable, *words, "--version"],
        ROOT,
        PYTHONPATH=f"{tmp_path}:{libraries}",
    )
    assert found.stdout.strip() == __version__
    options = words[: words.index("-m")]
    service = "import knapweedrail.tools.service"
    run(
        [sys.executable, *options, "-c", service],
        ROOT,
        PYTHONPATH=f"{tmp_path}:{libraries}",
    )
