"""Process settings: faults, and the documented table."""

import importlib.resources
import itertools
import json
import pathlib
import re
import subprocess
import sys
import unittest.mock

import attrs
import pytest

from knapweedrail import settings
from knapweedrail.relay.options import RelaySettings
from knapweedrail.settings import RouterSettings, parse_settings, read_settings

PAGE = pathlib.Path(__file__).parents[2] / "docs" / "CONFIGURATION.md"


def test_example_is_accepted_and_defaults_fill_the_rest():
    path = importlib.resources.files("knapweedrail") / "examples" / "router.jsonc"
    found = read_settings(str(path))
    assert isinstance(found, RouterSettings)
    assert found.host_name == "split-a-1"
    assert found.max_body_bytes == 1_048_576


def test_tells_every_fault_of_a_settings_file():
    """A router is started with a mistyped key and runs with a default that nobody
    chose; the operator notices only under load."""
    text = """{
      "name": "a:b",
      "platform": "ftp:/x",
      "seeds": ["localhost:1", "127.0.0.1:0", 3],
      "max_body_bytes": -1,
      "retry_share": 1e999,
      "flush_secnods": 1,
      "peer_address": "[::1]:70000",
      "advertised_peer_address": "127.0.0.1:0"
    }"""
    assert [(f.line, f.key) for f in parse_settings(text, "f")] == [
        (1, "data_centre"),
        (2, "name"),
        (3, "platform"),
        (4, "seeds[0]"),
        (4, "seeds[1]"),
        (4, "seeds[2]"),
        (5, "max_body_bytes"),
        (6, "retry_share"),
        (7, "flush_secnods"),
        (8, "peer_address"),
        (9, "advertised_peer_address"),
    ]


def test_missing_file_is_a_fault():
    assert "can't be read" in str(read_settings("no-such-file")[0])


@pytest.mark.parametrize("table", [RouterSettings, RelaySettings])
def test_page_lists_the_table(table):
    page = PAGE.read_text()
    for field in attrs.fields(table):
        default = "" if field.default is attrs.NOTHING else repr(field.default)
        cell = f"`{default}`" if default else "must be given"
        row = f"| `{field.name}` | {cell} | {field.metadata['unit']} |"
        assert f"{row} {field.metadata['reason']} |" in page


def test_the_deployments_template_gives_settings_that_pass():
    """The platform fills a template in at every start. A host whose settings have a
    fault never serves, and nobody is there to read why."""
    template = PAGE.parents[1] / "deploy" / "relay.jsonc"
    text = template.read_text()
    values = {
        "{{nodeName|json}}": '"front-a-1"',
        "{{zone|json}}": '"a"',
        "{{listen.front|json}}": '"10.0.0.1:80"',
        "{{listen.ready|json}}": '"10.0.0.1:81"',
        "{{provider.address|json}}": '"10.0.0.2:82"',
        "{{ip}}:{{portRange.0}}": "10.0.0.1:7200",
        "{{ip}}:{{portRange.1}}": "10.0.0.1:7201",
        "{{.|json}}": "3",
    }
    for placeholder, value in values.items():
        text = text.replace(placeholder, value)
    full = re.sub(r"{{[#/][^}]*}}", "", text)
    bare = re.sub(r"{{#[^}]*}}.*?{{/[^}]*}}", "", text)
    for filled in (full, bare):
        found = parse_settings(filled, "f", RelaySettings)
        assert isinstance(found, RelaySettings), found
        assert found.configuration_watch_seconds >= 1.0
        assert found.runner_watch_seconds >= 1.0


VALUES = [
    *("a", "", "a b", "10.0.0.1:80", "127.0.0.1:0", "http://h", "x" * 300, "1"),
    *(0, 1, -1, 1.0, 0.5, 2.5, 60, 3_600_001, 10**18, 1e300, True, None),
    *([], ["127.0.0.1:1"], ["127.0.0.1:1", 3], ["127.0.0.1:1"] * 101, {}, "[::1]:9"),
]
REQUIRED = {
    RelaySettings: {"host": "h", "data_centre": "d", "store_address": "127.0.0.1:1"},
    RouterSettings: {"name": "n", "data_centre": "d", "platform": "http://h"},
}


@pytest.mark.parametrize("table", REQUIRED)
def test_settings_accepted_at_once_are_those_that_the_schema_accepts(table):
    """A file is accepted without the schema's library, to start sooner. A fault that
    only the schema finds would then pass: a mistyped bound runs for weeks."""
    names = [*attrs.fields_dict(table), "unknown"]
    accepted = 0
    for name, value in itertools.product(names, VALUES):
        given = REQUIRED[table] | {name: value}
        accepted += settings._accept(given, table) is not None
        text = json.dumps(given)
        found = parse_settings(text, "f", table)
        with unittest.mock.patch.object(settings, "_accept", lambda *_: None):
            assert repr(parse_settings(text, "f", table)) == repr(found), text
    assert accepted > 2 * len(names)


def test_settings_in_order_are_read_without_the_library_that_describes_faults():
    """All hosts lose power. Each reads a library of half a megabyte to describe faults
    that its settings don't have, and opens its door a tenth of a second later."""
    program = (
        "import sys; from knapweedrail.relay.options import RelaySettings;"
        "from knapweedrail.settings import parse_settings;"
        f"found = parse_settings({json.dumps(REQUIRED[RelaySettings])!r}, 'f',"
        " RelaySettings); print(found.host, 'jsonschema' in sys.modules,"
        " 'cattrs' in sys.modules)"
    )
    told = subprocess.run(
        [sys.executable, "-c", program], capture_output=True, text=True, check=True
    )
    assert told.stdout.split() == ["h", "False", "False"]
