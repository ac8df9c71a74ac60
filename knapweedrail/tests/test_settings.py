"""Process settings: faults, and the documented table."""

import importlib.resources
import pathlib

import attrs

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


def test_page_lists_the_table():
    page = PAGE.read_text()
    for field in attrs.fields(RouterSettings):
        default = "" if field.default is attrs.NOTHING else repr(field.default)
        cell = f"`{default}`" if default else "must be given"
        row = f"| `{field.name}` | {cell} | {field.metadata['unit']} |"
        assert f"{row} {field.metadata['reason']} |" in page
