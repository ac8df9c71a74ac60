"""Startup of a relay process."""

import gc
import json
import signal
import socket
import subprocess
import sys
import types

import orjson

from ..standins.processes import Process, wait_for
from ..tools import relay

HEAVY = ("eliot", "anyio", "httpx", "hypercorn", "grpclib", "opentelemetry")

UNNEEDED = (
    "opentelemetry",
    "prometheus_client",
    "jsonschema",
    "cattrs",
    "trio",
    "knapweedrail.models",
    "knapweedrail.wire.peers_pb2",
)


def write_settings(folder, caller_address):
    path = folder / "relay.jsonc"
    settings = {
        "host": "host-1",
        "data_centre": "dc",
        "caller_address": caller_address,
        "ready_address": "127.0.0.1:0",
        "peer_address": "127.0.0.1:0",
        "store_address": "127.0.0.1:1",
    }
    path.write_bytes(orjson.dumps(settings))
    return str(path)


def test_listener_opens_before_heavy_libraries_are_imported():
    """All hosts start together after a power outage. Importing the libraries takes half
    a second; until then every host refused each caller's connection, so that callers
    lost two attempts."""
    program = (
        "import sys; import knapweedrail.tools.relay;"
        f"print([name for name in {HEAVY!r} if name in sys.modules])"
    )
    found = subprocess.run(
        [sys.executable, "-c", program], capture_output=True, text=True, check=True
    )
    assert found.stdout.strip() == "[]"


def test_startup_imports_no_unneeded_library():
    """All hosts start together after a power outage. Imports for metrics that
    haven't been requested, or for reporting faults that the settings don't have, would
    make callers wait longer."""
    program = (
        "import sys; import knapweedrail.tools.service;"
        f"print([name for name in {UNNEEDED!r} if name in sys.modules])"
    )
    found = subprocess.run(
        [sys.executable, "-c", program], capture_output=True, text=True, check=True
    )
    assert found.stdout.strip() == "[]"


def test_plain_settings_need_no_syntax_tree(tmp_path):
    """Guards against a parser for comments and faults that is imported by each start,
    though the settings that the platform writes have neither."""
    program = (
        "import sys; from knapweedrail.tools import relay;"
        "code = relay.main(sys.argv[1:]);"
        "print(code, 'tree_sitter' in sys.modules)"
    )
    settings = write_settings(tmp_path, "127.0.0.1:0")
    command = [sys.executable, "-c", program, "--check", "--settings", settings]
    found = subprocess.run(command, capture_output=True, text=True, check=True)
    assert found.stdout.strip() == "0 False"


def test_listener_accepts_while_libraries_are_imported(tmp_path, monkeypatch):
    """A caller connects while the process still imports its libraries. Its connection
    stays in the backlog, and the server answers it as soon as it runs."""
    reached = []

    def run_relay(settings, listener, clock):
        address = listener.getsockname()
        with socket.create_connection(address, timeout=1) as caller:
            caller.sendall(b"GET")
            accepted, _ = listener.accept()
            reached.append(accepted.recv(3))
            accepted.close()
        listener.close()
        return True

    service = types.ModuleType("service")
    service.run_relay = run_relay
    monkeypatch.setitem(sys.modules, "knapweedrail.tools.service", service)
    settings = write_settings(tmp_path, "127.0.0.1:0")
    assert relay.main(["--settings", settings]) == relay.EXIT_STOPPED
    assert reached == [b"GET"]


def test_garbage_collection_is_enabled_while_relay_runs(tmp_path, monkeypatch):
    """Garbage collection is disabled during imports. If it stayed disabled, a host
    would run out of memory within hours and be killed; if the imported objects weren't
    frozen, each collection would scan them and pause all streams."""
    seen = []

    def run_relay(settings, listener, clock):
        seen.append((gc.isenabled(), gc.get_freeze_count() > 0))
        listener.close()
        return True

    service = types.ModuleType("service")
    service.run_relay = run_relay
    monkeypatch.setitem(sys.modules, "knapweedrail.tools.service", service)
    try:
        relay.main(["--settings", write_settings(tmp_path, "127.0.0.1:0")])
    finally:
        gc.unfreeze()
    assert seen == [(True, True)]


def test_occupied_port_is_reported(tmp_path, capsys):
    """A second relay is started on the same host by mistake. It prints an error
    message and exits at once."""
    with socket.create_server(("127.0.0.1", 0)) as taken:
        address = f"127.0.0.1:{taken.getsockname()[1]}"
        settings = write_settings(tmp_path, address)
        assert relay.main(["--settings", settings]) == relay.EXIT_FAILED
    assert "knapweedrail-relay: " in capsys.readouterr().err


def test_stop_signal_during_startup_exits_cleanly(tmp_path):
    """A stop signal arrives while the relay still imports its libraries. The signal
    killed the process, and monitoring reported a failed relay. Found by seed 403 of the
    soak test."""
    settings = write_settings(tmp_path, "127.0.0.1:0")
    program = (
        "import os, signal, sys, types\n"
        "from knapweedrail.tools import relay\n"
        "service = types.ModuleType('service')\n"
        "def __getattr__(name):\n"
        "    os.kill(os.getpid(), signal.SIGTERM)\n"
        "    return lambda settings, listener, clock: clock.stop_requested\n"
        "service.__getattr__ = __getattr__\n"
        "sys.modules['knapweedrail.tools.service'] = service\n"
        f"relay.main(['--settings', {settings!r}])\n"
    )
    found = subprocess.run(
        [sys.executable, "-c", program], capture_output=True, text=True, timeout=60
    )
    assert (found.returncode, found.stderr) == (relay.EXIT_STOPPED, "")


def test_sighup_during_startup_does_not_end_process(tmp_path):
    """SIGHUP announces changed settings while the relay still starts. By default this
    signal kills a process, and the connections of waiting callers were reset."""
    with socket.create_server(("127.0.0.1", 0)) as free:
        port = free.getsockname()[1]
    settings = write_settings(tmp_path, f"127.0.0.1:{port}")
    options = ("--settings", settings)
    process = Process("knapweedrail.tools.relay", *options, log=tmp_path / "log")
    process.start()
    try:
        caller = wait_for(lambda: connect(port), "an open listener")
        with caller:
            caller.sendall(b"GET /x HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n")
            process.signal(signal.SIGHUP)
            answer = caller.makefile("rb").read()
        assert answer.startswith(b"HTTP/1.1 503 ")
        process.signal(signal.SIGTERM)
        assert process.wait() == relay.EXIT_STOPPED
    finally:
        process.close()


def test_stop_signal_during_startup_answers_queued_callers(tmp_path):
    """A stop signal arrives while callers' requests wait in the backlog and the relay
    imports its libraries. The process ended at once, the connections were reset, and
    callers couldn't tell whether their requests had run. Found by seed 1111 of the soak
    test."""
    with socket.create_server(("127.0.0.1", 0)) as free:
        port = free.getsockname()[1]
    settings = write_settings(tmp_path, f"127.0.0.1:{port}")
    options = ("--settings", settings)
    process = Process("knapweedrail.tools.relay", *options, log=tmp_path / "log")
    process.start()
    try:
        caller = wait_for(lambda: connect(port), "an open listener")
        with caller:
            caller.sendall(b"GET /x HTTP/1.1\r\nhost: x\r\n\r\n")
            process.signal(signal.SIGTERM)
            answer = caller.makefile("rb").read()
        assert process.wait() == relay.EXIT_STOPPED
    finally:
        process.close()
    lines = map(json.loads, (tmp_path / "log").read_bytes().splitlines())
    stopping = [line for line in lines if "noticed_after" in line]
    # The signal is noticed after about half a second of imports; time counts from it.
    assert stopping[0]["noticed_after"] > 0.05
    head, _, body = answer.partition(b"\r\n\r\n")
    assert head.startswith(b"HTTP/1.1 503 ")
    assert json.loads(body)["ran"] == "not run"


def connect(port):
    try:
        return socket.create_connection(("127.0.0.1", port), timeout=10)
    except ConnectionRefusedError:
        return None
