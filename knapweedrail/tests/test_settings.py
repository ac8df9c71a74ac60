"""Process settings: faults, and the documented table."""

import importlib.resources
import pathlib
import re

import attrs
import pytest

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
        assert found.watch_seconds >= 1.0
