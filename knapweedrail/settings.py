"""Process settings of a router: the table of defaults, and how a file is read.

`RouterSettings` is the table: each field carries its default, unit, reason and
checks. docs/CONFIGURATION.md lists the same table, and a test compares the two.
"""

from __future__ import annotations

import pathlib
import re
from typing import Any, TypeVar
from urllib.parse import urlsplit

import attrs
from attrs import validators

from .addresses import check_address
from .documents import Document, Fault, check_shape, parse_document, parse_plain
from .shapes import MAX_SECONDS, NAME, make_object

GIBIBYTE = 2**30

MAX_ITEMS = 100
"""Most entries of a setting that is a list."""

Table = TypeVar("Table")
"""A class that declares settings."""

_OWN_CHECKS = ("address", "url")
_CONDITIONS = {
    "type": lambda name: validators.instance_of({"string": str}[name]),
    "minimum": validators.ge,
    "maximum": validators.le,
    "exclusiveMinimum": validators.gt,
    "maxLength": validators.max_len,
    "pattern": lambda pattern: validators.matches_re(pattern, func=re.search),
}
"""Keywords of JSON schema that `_accept` judges."""

_SCHEMA_TYPES = {str: "string", int: "integer", float: "number", bool: "boolean"}


def setting(unit: str, reason: str, default: Any = attrs.NOTHING, **checks: Any) -> Any:
    """Declare one setting.

    Args:
        unit: Unit of the value, or what kind of text it is.
        reason: Why it exists, and why its default is what it is.
        default: Its default; a setting without one must stand in the file.
        **checks: Keywords of JSON schema that the value must meet, and
            ``address`` (lowest port) or ``url`` for texts of that form.
    """
    metadata = {"unit": unit, "reason": reason, "checks": checks}
    return attrs.field(default=default, metadata=metadata)


def seconds(reason: str, default: float, most: float = MAX_SECONDS) -> Any:
    """Declare a time in seconds, above 0."""
    return setting("seconds", reason, default, exclusiveMinimum=0, maximum=most)


def count(unit: str, reason: str, default: int, least: int, most: int) -> Any:
    """Declare a whole number within bounds."""
    return setting(unit, reason, default, minimum=least, maximum=most)


@attrs.frozen(kw_only=True)
class RouterSettings:
    """Settings of one router process."""

    name: str = setting(
        "name", "Unique over the fleet; the same after a restart.", **NAME
    )
    data_centre: str = setting(
        "name",
        "Decides which peers share reserves and which runners come first.",
        **NAME,
    )
    platform: str = setting("URL", "Base address of the object API.", url=True)
    host: str = setting(
        "text",
        "The host's name on the platform's list; empty: the router's name.",
        "",
        maxLength=255,
    )
    caller_address: str = setting(
        "address",
        "Where callers are answered; port 0 lets the kernel choose.",
        "127.0.0.1:8080",
        address=0,
    )
    peer_address: str = setting(
        "address", "Where other routers are answered.", "127.0.0.1:8081", address=0
    )
    advertised_peer_address: str = setting(
        "address",
        "What other routers call; empty: the bound peer address.",
        "",
        address=1,
    )
    admin_address: str = setting(
        "address",
        "Health, readiness and metrics; kept away from callers.",
        "127.0.0.1:8082",
        address=0,
    )
    seeds: tuple[str, ...] = setting(
        "addresses",
        "Peers to ask at a start while the platform is away.",
        (),
        address=1,
    )
    platform_timeout_seconds: float = seconds(
        "The platform answers in milliseconds; two seconds tell slow from away.", 2.0
    )
    watch_seconds: float = seconds(
        "Length of one waiting watch: fewer calls when longer; a connection that"
        " went silent is noticed only after it.",
        20.0,
        300.0,
    )
    doubt_seconds: float = seconds(
        "Silence of the platform after which a router that has acknowledged a"
        " configuration serves only what the old and the new one both allow.",
        3.0,
        60.0,
    )
    flush_seconds: float = seconds(
        "Pause between two batches to one ledger: half a second is two writes a"
        " second for each router and shard.",
        0.5,
        60.0,
    )
    ledger_shards: int = count(
        "shards",
        "Objects over which budgets are spread; the same on all routers.",
        4,
        1,
        4096,
    )
    heartbeat_seconds: float = seconds(
        "Pause between exchanges with a peer; three missed ones make it doubted.",
        1.0,
        60.0,
    )
    exchange_members: int = count(
        "peers",
        "Peers of other data centres in one exchange: keeps the traffic of a"
        " router flat as the fleet grows.",
        3,
        1,
        100,
    )
    exchange_timeout_seconds: float = seconds(
        "Longest wait for a peer's answer; peers are under a millisecond away.",
        1.0,
        60.0,
    )
    max_body_bytes: int = count(
        "bytes",
        "A farm's long history is some 100 KB; ten times that is refused"
        " before it fills the memory.",
        2**20,
        1024,
        GIBIBYTE,
    )
    max_header_bytes: int = count(
        "bytes",
        "Keys and identities are short; stops a caller that sends headers without end.",
        16_384,
        1024,
        2**20,
    )
    max_connections: int = count(
        "connections",
        "Open callers of one router; bounds descriptors and memory.",
        1_000,
        1,
        100_000,
    )
    max_descriptors: int = count(
        "descriptors",
        "Descriptors of the process, if its own limit isn't lower; callers get at"
        " most half, their complete requests 3 of 10, other routers 12 of 100,"
        " health and metrics 2 of 100.",
        4_096,
        64,
        1_000_000,
    )
    caller_memory_bytes: int = count(
        "bytes",
        "What callers' connections and unfinished requests hold together.",
        2**26,
        2**20,
        GIBIBYTE,
    )
    header_read_timeout_seconds: float = seconds(
        "A caller that sends its headers a byte at a time holds a connection no"
        " longer.",
        10.0,
    )
    body_read_timeout_seconds: float = seconds(
        "The same for bodies; a megabyte over a slow phone takes some seconds.", 30.0
    )
    keep_alive_seconds: float = seconds(
        "Idle connections are closed after it; longer than the pause between two"
        " questions, so that a chat keeps its connection.",
        75.0,
    )
    answer_memory_bytes: int = count(
        "bytes",
        "Answers kept for retries; a quarter of the 128 MB for control.",
        2**25,
        65_536,
        GIBIBYTE,
    )
    answer_keep_seconds: float = seconds(
        "Callers retry within a minute or two; later ones run anew, billed once.",
        180.0,
    )
    retry_share: float = setting(
        "share",
        "Retries for each fresh request at most, so that a fault isn't"
        " answered with twice the load.",
        0.1,
        minimum=0,
        maximum=1,
    )
    placement: str = setting(
        "policy",
        "Registered policy that places work on runners.",
        "least-work",
        **NAME,
    )
    max_queue_requests: int = count(
        "requests",
        "Requests that wait for one endpoint in this router; with more,"
        " the last could only wait past its deadline.",
        1_000,
        1,
        1_000_000,
    )
    max_queue_bytes: int = count(
        "bytes",
        "Bodies of waiting requests, so that waiting can't exhaust memory.",
        2**26,
        2**20,
        GIBIBYTE,
    )
    log_file: str = setting(
        "path",
        "Where log lines go; empty: standard error, as hosts have no disks.",
        "",
        maxLength=4096,
    )

    @property
    def host_name(self) -> str:
        """The host's name on the platform's list."""
        return self.host or self.name


attrs.resolve_types(RouterSettings)


def read_settings(
    path: str | pathlib.Path, table: type[Table] = RouterSettings
) -> Table | tuple[Fault, ...]:
    """Read a settings file.

    Args:
        path: The file.
        table: Class that declares the settings.

    Returns:
        The settings, or every fault that was found, by line.
    """
    try:
        text = pathlib.Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        return (Fault(str(path), 1, "", f"can't be read: {error}"),)
    return parse_settings(text, str(path), table)


def parse_settings(
    text: str, file: str, table: type[Table] = RouterSettings
) -> Table | tuple[Fault, ...]:
    """Check the text of a settings file against a table of settings."""
    if (plain := _accept_plain(text, file, table)) is not None:
        return plain
    document = parse_document(text, file)
    if not isinstance(document, Document):
        return document
    faults = set(_check_texts(document, table))
    if not faults and (settings := _accept(document.value, table)) is not None:
        return settings
    faults.update(check_shape(document, make_shape(table)))
    if faults:
        return tuple(sorted(faults))
    import cattrs

    return cattrs.structure(document.value, table)


def _accept_plain(text: str, file: str, table: type[Table]) -> Table | None:
    """Make settings from plain JSON that is in order; ``None`` leaves it open."""
    try:
        values = parse_plain(text)
    except (ValueError, RecursionError):
        return None
    if _check_texts(Document(file, values, {}), table):
        return None
    return _accept(values, table)


def _accept(values: Any, table: type[Table]) -> Table | None:
    """Make settings whose file is in order beyond doubt; ``None`` leaves it open.

    Nearly every start reads such a file, and the libraries that describe the faults of
    another one take a tenth of a start's processor time to import, before the callers'
    door opens. What isn't accepted here is judged and described by them alone.
    """
    fields = attrs.fields_dict(table)
    if not isinstance(values, dict) or not fields.keys() >= values.keys():
        return None
    given = {}
    try:
        for name, value in values.items():
            given[name] = _convert(value, fields[name].type)
            for keyword, bound in fields[name].metadata["checks"].items():
                if keyword not in (*_OWN_CHECKS, "description"):
                    _CONDITIONS[keyword](bound)(None, fields[name], value)
        return table(**given)
    except (KeyError, TypeError, ValueError, OverflowError):
        return None


def _convert(value: Any, wanted: Any) -> Any:
    """Return a value of the wanted type.

    Raises:
        TypeError: If it can't be told that it is one.
    """
    if wanted == tuple[str, ...]:
        if type(value) is not list or len(value) > MAX_ITEMS:
            raise TypeError(wanted)
        return tuple(_convert(item, str) for item in value)
    if wanted is float and type(value) is int:
        return float(value)
    if type(value) is not wanted:
        raise TypeError(wanted)
    return value


def make_shape(table: type = RouterSettings) -> dict:
    """Make the JSON schema of a settings file from a table of settings."""
    fields = attrs.fields(table)
    required = tuple(f.name for f in fields if f.default is attrs.NOTHING)
    return make_object({f.name: _make_value_shape(f) for f in fields}, required)


def _make_value_shape(field: attrs.Attribute) -> dict:
    checks = field.metadata["checks"].items()
    checks = {key: value for key, value in checks if key not in _OWN_CHECKS}
    if field.type == tuple[str, ...]:
        return {"type": "array", "items": {"type": "string"}, "maxItems": MAX_ITEMS}
    return {"type": _SCHEMA_TYPES[field.type], **checks}


def _check_texts(document: Document, table: type) -> list[Fault]:
    faults = []
    values = document.value if isinstance(document.value, dict) else {}
    for field in attrs.fields(table):
        value = values.get(field.name)
        checks = field.metadata["checks"]
        if "url" in checks and isinstance(value, str) and not _is_url(value):
            message = f"{value!r} is not a URL such as http://127.0.0.1:7000"
            faults.append(document.fault((field.name,), message))
        if "address" not in checks:
            continue
        items = value if isinstance(value, list) else [value]
        for index, item in enumerate(items):
            if not isinstance(item, str) or (item == "" and field.default == ""):
                continue
            message = check_address(item, checks["address"])
            if message:
                inner = (field.name, index) if items is value else (field.name,)
                faults.append(document.fault(inner, message))
    return faults


def _is_url(text: str) -> bool:
    try:
        parts = urlsplit(text)
        return parts.scheme in ("http", "https") and bool(parts.hostname)
    except ValueError:
        return False
