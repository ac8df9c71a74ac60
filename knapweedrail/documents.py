"""JSON with comments: values with the line of every key, and faults."""

from __future__ import annotations

import json
from collections.abc import Iterator
from typing import TYPE_CHECKING, Any, TypeAlias

import attrs

if TYPE_CHECKING:
    import jsonschema
    import tree_sitter

Path: TypeAlias = tuple[str | int, ...]

MAX_DEPTH = 32
"""Deepest nesting: far above any real file, below Python's recursion limit."""

MAX_SHOWN = 200
"""Longest message of a fault, so that a huge value can't flood the terminal."""


@attrs.frozen(order=True)
class Fault:
    """One thing wrong in a file.

    Attributes:
        file: The file's name.
        line: Line, counted from 1.
        key: Path of the value, such as ``accounts[2].budget``.
        message: What is wrong.
    """

    file: str
    line: int
    key: str
    message: str

    def __str__(self) -> str:
        where = f" {self.key}:" if self.key else ""
        return f"{self.file}:{self.line}:{where} {self.message}"


@attrs.frozen
class Document:
    """A parsed file.

    Attributes:
        file: The file's name, for faults.
        value: The values as plain Python.
        lines: Line of each value, by path.
    """

    file: str
    value: Any
    lines: dict[Path, int]

    def fault(self, path: Path, message: str) -> Fault:
        """Make a fault at a path; a path that is missing takes its parent's line."""
        known = tuple(path)
        while known and known not in self.lines:
            known = known[:-1]
        shown = message if len(message) <= MAX_SHOWN else message[:MAX_SHOWN] + "…"
        return Fault(self.file, self.lines.get(known, 1), format_path(path), shown)


def format_path(path: Path) -> str:
    """Write a path the way people read it, such as ``accounts[2].budget``."""
    text = ""
    for part in path:
        if isinstance(part, int):
            text += f"[{part}]"
        else:
            text += f".{part}" if text else part
    return text


def parse_document(text: str, file: str) -> Document | tuple[Fault, ...]:
    """Parse JSON with comments.

    Args:
        text: The whole file.
        file: Its name, for faults.

    Returns:
        The document, or every fault of syntax and every key that stands twice.
    """
    # Not imported by a relay whose settings are plain JSON and in order.
    import tree_sitter
    import tree_sitter_json

    language = tree_sitter.Language(tree_sitter_json.language())
    tree = tree_sitter.Parser(language).parse(text.encode())
    reader = _Reader(file)
    reader.read_root(tree.root_node)
    if reader.faults:
        return tuple(sorted(set(reader.faults)))
    return Document(file, reader.value, reader.lines)


def parse_plain(text: str) -> Any:
    """Parse JSON without comments, in which no key stands twice.

    Raises:
        ValueError: If the text isn't that; `parse_document` tells what is wrong.
    """
    return json.loads(
        text,
        object_pairs_hook=_make_object,
        parse_float=_read_float,
        parse_constant=_refuse_constant,
    )


def _make_object(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
    values = dict(pairs)
    if len(values) < len(pairs):
        raise ValueError("a key stands twice")
    return values


def _read_float(text: str) -> float:
    # `parse_document` doesn't read the form 1e+16.
    if "+" in text:
        raise ValueError(f"not accepted: {text:.40}")
    return float(text)


def _refuse_constant(text: str) -> Any:
    raise ValueError(f"not JSON: {text}")


def check_shape(document: Document, shape: dict) -> tuple[Fault, ...]:
    """Return every place where a document differs from a JSON schema."""
    # Not imported by a relay whose settings are in order: it takes a tenth of a start.
    import jsonschema

    validator = jsonschema.Draft202012Validator(shape)
    faults = []
    for error in validator.iter_errors(document.value):
        faults.extend(_describe(document, error))
    return tuple(sorted(set(faults)))


def _describe(document: Document, error: jsonschema.ValidationError) -> Iterator[Fault]:
    path = tuple(error.absolute_path)
    if error.validator == "additionalProperties":
        known = error.schema.get("properties", {})
        for name in error.instance:
            if name not in known:
                yield document.fault((*path, name), "unknown key")
    elif error.validator == "required":
        for name in error.validator_value:
            if name not in error.instance:
                yield document.fault((*path, name), "missing")
    elif error.validator == "pattern" and "description" in error.schema:
        yield document.fault(
            path, f"{error.instance!r} is not {error.schema['description']}"
        )
    else:
        yield document.fault(path, error.message)


class _Reader:
    """Walks a syntax tree, collecting the value, the lines and the faults."""

    def __init__(self, file: str) -> None:
        self.file = file
        self.value: Any = None
        self.lines: dict[Path, int] = {}
        self.faults: list[Fault] = []

    def read_root(self, root: tree_sitter.Node) -> None:
        values = self._children(root, ())
        if not values and not self.faults:
            self._blame(root, (), "the file holds no value")
        for extra in values[1:]:
            self._blame(extra, (), "a second value")
        if values:
            self.value = self._read(values[0], ())

    def _read(self, node: tree_sitter.Node, path: Path) -> Any:
        self.lines[path] = node.start_point.row + 1
        if len(path) > MAX_DEPTH:
            self._blame(node, path, f"nested deeper than {MAX_DEPTH}")
            return None
        if node.is_missing:
            self._blame(node, path, "a value is missing")
            return None
        if node.type == "object":
            return self._read_object(node, path)
        if node.type == "array":
            values = self._children(node, path)
            return [self._read(item, (*path, i)) for i, item in enumerate(values)]
        return self._read_scalar(node, path)

    def _read_object(self, node: tree_sitter.Node, path: Path) -> dict:
        values: dict = {}
        for pair in self._children(node, path):
            children = self._children(pair, path)
            if len(children) != 2:
                self._blame(pair, path, "expected a key and a value")
                continue
            key = self._read_scalar(children[0], path)
            if not isinstance(key, str):
                self._blame(pair, path, "a key must be a string")
                continue
            if key in values:
                self._blame(pair, (*path, key), "the key stands twice")
            values[key] = self._read(children[1], (*path, key))
            self.lines[(*path, key)] = pair.start_point.row + 1
        return values

    def _read_scalar(self, node: tree_sitter.Node, path: Path) -> Any:
        try:
            return json.loads(node.text)
        except ValueError:
            # The grammar takes forms that JSON doesn't have, such as a raw line
            # break in a string; they would reach the schema as other values.
            self._blame(node, path, f"not JSON: {node.text.decode()[:40]!r}")
            return None

    def _children(self, node: tree_sitter.Node, path: Path) -> list[tree_sitter.Node]:
        """Return the children that carry values, and blame what is broken."""
        values = []
        for child in node.children:
            if child.type == "ERROR":
                seen = child.text.decode(errors="replace")[:40]
                self._blame(child, path, f"syntax error at {seen!r}")
            elif child.is_missing and not child.is_named:
                self._blame(child, path, f"expected {child.type!r}")
            elif child.is_named and child.type != "comment":
                values.append(child)
        return values

    def _blame(self, node: tree_sitter.Node, path: Path, message: str) -> None:
        line = node.start_point.row + 1
        self.faults.append(Fault(self.file, line, format_path(path), message))
