"""The first moments of a relay's process."""

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
    """All hosts lose power and start again together. The libraries take half a second
    to read, and until then each caller's connection was refused at every host: it lost
    its attempt, and the one after it."""
    program = (
        "import sys; import knapweedrail.tools.relay;"
        f"print([name for name in {HEAVY!r} if name in sys.modules])"
    )
    found = subprocess.run(
        [sys.executable, "-c", program], capture_output=True, text=True, check=True
    )
    assert found.stdout.strip() == "[]"


def test_startup_imports_no_unneeded_library():
    """All hosts of the fleet start together after a loss of power. What each of them
    reads for metrics that nobody has asked for, or for faults that its settings don't
    have, is time in which callers wait."""
    program = (
        "import sys; import knapweedrail.tools.service;"
        f"print([name for name in {UNNEEDED!r} if name in sys.modules])"
    )
    found = subprocess.run(
        [sys.executable, "-c", program], capture_output=True, text=True, check=True
    )
    assert found.stdout.strip() == "[]"


def test_listener_accepts_while_libraries_are_imported(tmp_path, monkeypatch):
    """A caller connects while the process still reads its libraries. Its connection
    waits, and the server answers on it as soon as it runs."""
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
    """No garbage is looked for while the libraries are read. If it stayed so, a host
    would fill its memory in hours and be killed; if the libraries weren't set aside,
    all streams would pause for each look through them."""
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
    """Two relays are started on one host by mistake. The second one ends at once and
    names what is in its way."""
    with socket.create_server(("127.0.0.1", 0)) as taken:
        address = f"127.0.0.1:{taken.getsockname()[1]}"
        settings = write_settings(tmp_path, address)
        assert relay.main(["--settings", settings]) == relay.EXIT_FAILED
    assert "knapweedrail-relay: " in capsys.readouterr().err


def test_stop_signal_during_startup_exits_cleanly(tmp_path):
    """A host is asked to stop right after its start, while its relay still reads its
    libraries. The process ended by the signal, and whoever watches hosts was called
    for a relay that had failed. Found by seed 403 of the soak."""
    settings = write_settings(tmp_path, "127.0.0.1:0")
    program = (
        "import os, signal, sys, types\n"
        "from knapweedrail.tools import relay\n"
        "service = types.ModuleType('service')\n"
        "def __getattr__(name):\n"
        "    os.kill(os.getpid(), signal.SIGTERM)\n"
        "    return lambda settings, listener, clock: clock.asked\n"
        "service.__getattr__ = __getattr__\n"
        "sys.modules['knapweedrail.tools.service'] = service\n"
        f"relay.main(['--settings', {settings!r}])\n"
    )
    found = subprocess.run(
        [sys.executable, "-c", program], capture_output=True, text=True, timeout=60
    )
    assert (found.returncode, found.stderr) == (relay.EXIT_STOPPED, "")


def test_sighup_during_startup_does_not_end_process(tmp_path):
    """A host starts, and its settings file changes at that moment, which a signal
    tells. By default that signal ends a process: callers that waited found their
    connections reset."""
    with socket.create_server(("127.0.0.1", 0)) as free:
        port = free.getsockname()[1]
    settings = write_settings(tmp_path, f"127.0.0.1:{port}")
    options = ("--settings", settings)
    process = Process("knapweedrail.tools.relay", *options, log=tmp_path / "log")
    process.start()
    try:
        caller = wait_for(lambda: connect(port), "an open door")
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
    """A host starts, callers' requests wait in its queue while the relay reads its
    libraries, and then it is asked to stop. The process ended at once, and callers
    found their connections reset, without knowing whether their requests had run. Found
    by seed 1111 of the soak."""
    with socket.create_server(("127.0.0.1", 0)) as free:
        port = free.getsockname()[1]
    settings = write_settings(tmp_path, f"127.0.0.1:{port}")
    options = ("--settings", settings)
    process = Process("knapweedrail.tools.relay", *options, log=tmp_path / "log")
    process.start()
    try:
        caller = wait_for(lambda: connect(port), "an open door")
        with caller:
            caller.sendall(b"GET /x HTTP/1.1\r\nhost: x\r\n\r\n")
            process.signal(signal.SIGTERM)
            answer = caller.makefile("rb").read()
        assert process.wait() == relay.EXIT_STOPPED
    finally:
        process.close()
    lines = map(json.loads, (tmp_path / "log").read_bytes().splitlines())
    stopping = [line for line in lines if "noticed_after" in line]
    # Half a second of libraries lies in between: time runs from the signal.
    assert stopping[0]["noticed_after"] > 0.05
    head, _, body = answer.partition(b"\r\n\r\n")
    assert head.startswith(b"HTTP/1.1 503 ")
    assert json.loads(body)["ran"] == "not run"


def connect(port):
    try:
        return socket.create_connection(("127.0.0.1", port), timeout=10)
    except ConnectionRefusedError:
        return None
