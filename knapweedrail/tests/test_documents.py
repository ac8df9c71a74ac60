"""Files with faults: every one is told in one go, at its line."""

import json

import pytest
from hypothesis import given
from hypothesis import strategies as st

from knapweedrail.documents import (
    Document,
    Fault,
    check_shape,
    parse_document,
    parse_plain,
)
from knapweedrail.shapes import make_integer, make_object

VALUES = st.recursive(
    st.none()
    | st.booleans()
    | st.integers()
    | st.floats(allow_nan=False, allow_infinity=False)
    | st.text(),
    lambda inner: st.lists(inner) | st.dictionaries(st.text(), inner),
    max_leaves=20,
)


@given(VALUES)
def test_reads_what_json_reads(value):
    # The grammar refuses the form "1e+16" with a fault (see the next test).
    text = json.dumps(value, indent=1).replace("e+", "e")
    document = parse_document(f"// a comment\n{text}\n/* another */", "f")
    assert isinstance(document, Document)
    assert document.value == json.loads(text)


@pytest.mark.parametrize(
    "text",
    ["", "// only", "[1,2,]", '{"a": }', '{"a" 1}', "{} {}", '"\x01"', "{1: 2}"]
    + [
        "[" * 100 + "]" * 100,
        '{"a": tru}',
        "[1 2]",
        '{"a": 1',
        "NaN",
        "0x10",
        "01",
        "1e+16",
    ],
)
def test_refuses_what_is_not_json(text):
    """A file with a slip of the keyboard is applied, the parser mends it silently,
    and the operator believes that something else is in force than what is."""
    faults = parse_document(text, "f")
    assert faults and all(isinstance(fault, Fault) for fault in faults)
    # Deep nesting is left to the check of the settings, which hold no such value.
    if not text.startswith("[["):
        with pytest.raises(ValueError):
            parse_plain(text)


def test_tells_every_key_that_stands_twice():
    """Someone pastes a block and forgets the old one; most readers take the last
    value and the operator looks at the first."""
    text = '{"a": 1,\n "a": 2,\n "b": {"c": 1,\n "c": 1}}'
    with pytest.raises(ValueError):
        parse_plain(text)
    faults = parse_document(text, "f")
    assert [str(f) for f in faults] == [
        "f:2: a: the key stands twice",
        "f:4: b.c: the key stands twice",
    ]


def test_tells_every_fault_of_the_shape_with_its_line():
    """An operator who is told one fault at a time applies the file five times."""
    inner = make_object({"n": make_integer(0, 5)}, ("n", "m"))
    document = parse_document('{"x": [\n{"n": -1, "m": 1},\n{"n": 9}]}', "f")
    shape = make_object({"x": {"type": "array", "items": inner}})
    assert [(f.line, f.key) for f in check_shape(document, shape)] == [
        (2, "x[0].m"),
        (2, "x[0].n"),
        (3, "x[1].m"),
        (3, "x[1].n"),
    ]
