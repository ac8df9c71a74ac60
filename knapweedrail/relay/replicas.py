"""Replica of one kind of the store's objects, and updates between replicas.

Pure: no I/O and no clock. A replica holds all objects of its kind as of one revision of
the store. An update starts from a revision that the subscriber already has, names each
object that has changed since then, and carries its present state. A subscriber can
therefore apply updates from several sources in any order, and never reverts to an
earlier state.
"""

from __future__ import annotations

import enum
from collections import OrderedDict
from typing import Any

import attrs
import orjson

from .patches import apply_patch, make_patch
from .stores import Change, StoredObject, Unreadable

MAX_REMOVED_OBJECTS = 1000
"""Removals that are kept for later updates. A subscriber that may lack a removal which
is no longer kept gets the whole list."""

LARGE_OBJECT_BYTES = 2048
"""Smallest encoded size of an object whose changes are sent as patches. Entries of
runners take a few hundred bytes, configurations tens of thousands and more."""

MAX_UPDATE_BYTES = 32_768
"""Largest object or sum of patches in an update. One relay of a data centre serves
about eighty others over a link of one megabyte a second. The link of the store is a
hundred times as fast, so subscribers fetch larger objects there."""

MAX_PATCHES = 32
"""Patches kept for one object."""


class UpdateForm(enum.StrEnum):
    """How an update represents the change of an object."""

    WRITTEN = "written"
    REMOVED = "removed"
    PATCHED = "patched"
    UNREADABLE = "unreadable"
    LARGE = "large"


@attrs.frozen
class ObjectUpdate:
    """The change of one object.

    Attributes:
        name: Name of the object.
        revision: Revision of the object's last change.
        form: How the change is represented.
        value: The object's content, or its last content if it was removed; a list of
            patches, oldest first, if patched; ``None`` if too large or unreadable.
        base: Revision of the object that the first patch applies to.
    """

    name: str
    revision: int
    form: UpdateForm
    value: Any = None
    base: int = 0


@attrs.frozen
class KindUpdate:
    """The changes of a kind between two revisions of the store.

    Attributes:
        since: Revision that the update starts from; 0 if it lists all objects.
        revision: Revision that the update leads to.
    """

    kind: str
    since: int
    revision: int
    items: tuple[ObjectUpdate, ...] = ()


class UpdateRejectedError(Exception):
    """An update doesn't apply to the replica, or omits an object that is too large.

    Attributes:
        needs_fetch: Whether the changed objects must be read from the store.
    """

    def __init__(self, reason: str, needs_fetch: bool) -> None:
        super().__init__(reason)
        self.needs_fetch = needs_fetch


@attrs.frozen
class _Patch:
    base: int
    revision: int
    patch: list[Any]
    size: int


@attrs.define
class Replica:
    """All objects of one kind, as of a revision of the store.

    Attributes:
        revision: Revision of the store; 0 before the first list.
        oldest_revision: Oldest revision from which all changes are known.
        keep_patches: Whether to compute and keep patches, as other relays subscribe.
    """

    kind: str
    revision: int = 0
    oldest_revision: int = 0
    keep_patches: bool = False
    _objects: dict[str, StoredObject] = attrs.field(factory=dict)
    _removed: OrderedDict[str, tuple[int, StoredObject]] = attrs.field(
        factory=OrderedDict
    )
    _patches: dict[str, list[_Patch]] = attrs.field(factory=dict)
    _encoded: dict[int, bytes] = attrs.field(factory=dict)

    def apply_list(self, objects: tuple[StoredObject, ...], revision: int) -> bool:
        """Apply a whole list; return whether it is newer than the replica.

        A list of an earlier revision than the replica's is ignored.
        """
        if revision <= self.revision:
            return False
        if not self.revision:
            self.oldest_revision = revision
        names = {stored.name for stored in objects}
        for name in [name for name in self._objects if name not in names]:
            self._remove(self._objects[name], revision)
        for stored in objects:
            self._set(stored)
        self._advance(revision)
        return True

    def apply_changes(self, changes: tuple[Change, ...], revision: int) -> list[Change]:
        """Apply changes from the store; return those that weren't applied yet."""
        if revision <= self.revision:
            return []
        found = [change for change in changes if self._apply_change(change, revision)]
        self._advance(revision)
        return found

    def merge_update(self, update: KindUpdate) -> list[Change]:
        """Apply an update of another relay; return the changes that it made.

        Raises:
            UpdateRejectedError: If it doesn't apply; the replica is left unchanged.
        """
        if update.revision <= self.revision:
            return []
        if update.since > self.revision:
            raise UpdateRejectedError(
                f"update starts from revision {update.since}, newer than the replica",
                needs_fetch=False,
            )
        found = [self._decode_item(item) for item in update.items]
        if not update.since:
            named = {item.name for item in update.items}
            missing = [self._objects[n] for n in self._objects if n not in named]
            found.extend(Change(stored, removed=True) for stored in missing)
        if not self.revision:
            self.oldest_revision = update.revision
        patched = {i.name: i for i in update.items if i.form is UpdateForm.PATCHED}
        for item in patched.values():
            self._record_received_patches(item)
        changed = [change for change in found if not self._is_applied(change)]
        for change in changed:
            if change.removed:
                self._remove(change.stored, update.revision)
            else:
                self._set(change.stored, compare=change.stored.name not in patched)
        self._advance(update.revision)
        return changed

    def encode_changes(self, since: int) -> bytes:
        """Return the changes since a revision, encoded; empty if there are none.

        Args:
            since: Revision of the subscriber; the result lists all objects if it is
                below `oldest_revision`.
        """
        if since >= self.revision:
            return b""
        known = self._encoded.get(since)
        if known is None:
            known = encode_items(self._list_items(since))
            self._encoded[since] = known
        return known

    def find_base(self, since: int) -> int:
        """Return the revision that an update starts from; 0 if it lists all objects."""
        return since if since >= self.oldest_revision else 0

    def _advance(self, revision: int) -> None:
        self.revision = revision
        self._encoded.clear()

    def _apply_change(self, change: Change, revision: int) -> bool:
        stored = change.stored
        known = self._objects.get(stored.name)
        if known is not None:
            newer = stored.revision - known.revision
            if newer < 0 or (newer == 0 and not change.removed):
                return False
        # A removal of the same answer is recorded with the revision of that answer,
        # which may be the one of a later change in it.
        removal = self._removed.get(stored.name)
        if removal is not None and stored.revision <= min(removal[0], self.revision):
            return False
        if change.removed:
            self._remove(stored, revision)
        else:
            self._set(stored)
        return True

    def _set(self, stored: StoredObject, compare: bool = True) -> None:
        known = self._objects.get(stored.name)
        if known is not None and known.revision >= stored.revision:
            return
        if known is not None and compare and self.keep_patches:
            self._record_patch(known, stored)
        self._objects[stored.name] = stored
        self._removed.pop(stored.name, None)

    def _remove(self, stored: StoredObject, revision: int) -> None:
        self._objects.pop(stored.name, None)
        self._patches.pop(stored.name, None)
        self._removed[stored.name] = (revision, stored)
        self._removed.move_to_end(stored.name)
        if len(self._removed) > MAX_REMOVED_OBJECTS:
            _, (oldest_revision, _) = self._removed.popitem(last=False)
            self.oldest_revision = max(self.oldest_revision, oldest_revision)

    def _is_applied(self, change: Change) -> bool:
        known = self._objects.get(change.stored.name)
        if change.removed:
            return known is None and change.stored.name in self._removed
        return known is not None and known.revision >= change.stored.revision

    def _record_patch(self, known: StoredObject, stored: StoredObject) -> None:
        """Keep the patch between two versions of a large object."""
        unreadable = isinstance(known.spec, Unreadable)
        if unreadable or isinstance(stored.spec, Unreadable) or _is_small(stored):
            self._patches.pop(stored.name, None)
            return
        patch = make_patch(known.spec, stored.spec)
        self._add_patch(stored.name, known.revision, stored.revision, patch)

    def _add_patch(self, name: str, base: int, revision: int, patch: list[Any]) -> None:
        kept = self._patches.setdefault(name, [])
        if kept and kept[-1].revision != base:
            kept.clear()
        kept.append(_Patch(base, revision, patch, len(orjson.dumps(patch))))
        del kept[:-MAX_PATCHES]

    def _record_received_patches(self, item: ObjectUpdate) -> None:
        """Keep the patches that another relay has computed."""
        known = self._objects.get(item.name)
        if not self.keep_patches or known is None or known.revision != item.base:
            return
        base = item.base
        for number, (revision, patch) in enumerate(item.value):
            last = number == len(item.value) - 1
            self._add_patch(item.name, base, item.revision if last else revision, patch)
            base = revision

    def _list_items(self, since: int) -> list[ObjectUpdate]:
        base = self.find_base(since)
        items = [
            self._make_item(stored, base)
            for stored in self._objects.values()
            if not base or stored.revision > base
        ]
        if base:
            items.extend(
                ObjectUpdate(
                    name,
                    stored.revision,
                    UpdateForm.REMOVED,
                    _get_readable_spec(stored),
                )
                for name, (revision, stored) in self._removed.items()
                if revision > base
            )
        return items

    def _make_item(self, stored: StoredObject, base: int) -> ObjectUpdate:
        if isinstance(stored.spec, Unreadable):
            return ObjectUpdate(stored.name, stored.revision, UpdateForm.UNREADABLE)
        if _is_small(stored):
            return ObjectUpdate(
                stored.name, stored.revision, UpdateForm.WRITTEN, stored.spec
            )
        patches = self._find_patches(stored.name, base) if base else []
        if patches and sum(patch.size for patch in patches) <= MAX_UPDATE_BYTES:
            value = [[patch.revision, patch.patch] for patch in patches]
            return ObjectUpdate(
                stored.name, stored.revision, UpdateForm.PATCHED, value, patches[0].base
            )
        if len(orjson.dumps(stored.spec)) <= MAX_UPDATE_BYTES:
            return ObjectUpdate(
                stored.name, stored.revision, UpdateForm.WRITTEN, stored.spec
            )
        return ObjectUpdate(stored.name, stored.revision, UpdateForm.LARGE)

    def _find_patches(self, name: str, since: int) -> list[_Patch]:
        """Return the patches that apply to a subscriber's version of an object."""
        kept = self._patches.get(name, [])
        later = [patch for patch in kept if patch.revision > since]
        if later and later[0].base > since:
            return []
        return later

    def _decode_item(self, item: ObjectUpdate) -> Change:
        if item.form is UpdateForm.LARGE:
            raise UpdateRejectedError(
                f"{item.name} is too large for an update", needs_fetch=True
            )
        spec = item.value
        if item.form is UpdateForm.PATCHED:
            spec = self._apply_patches(item)
        elif item.form is UpdateForm.UNREADABLE:
            spec = Unreadable()
        stored = StoredObject(item.name, item.revision, spec)
        return Change(stored, removed=item.form is UpdateForm.REMOVED)

    def _apply_patches(self, item: ObjectUpdate) -> Any:
        known = self._objects.get(item.name)
        if known is not None and known.revision >= item.revision:
            return known.spec
        if known is None or known.revision != item.base:
            raise UpdateRejectedError(
                f"patch applies to another version of {item.name}", needs_fetch=True
            )
        try:
            spec = known.spec
            for _, patch in item.value:
                spec = apply_patch(spec, patch)
        except (TypeError, ValueError) as error:
            raise UpdateRejectedError(
                f"{item.name}: {error}", needs_fetch=True
            ) from error
        return spec


def encode_items(items: list[ObjectUpdate]) -> bytes:
    """Return the items of an update, encoded for sending."""
    return orjson.dumps(
        [
            [item.name, item.revision, item.form.value, item.value, item.base]
            for item in items
        ]
    )


def decode_items(data: bytes) -> tuple[ObjectUpdate, ...]:
    """Decode the items of an update.

    Raises:
        ValueError: If the data isn't in the format of `encode_items`.
    """
    try:
        return tuple(
            ObjectUpdate(str(name), int(revision), UpdateForm(form), value, int(base))
            for name, revision, form, value, base in orjson.loads(data or b"[]")
        )
    except (TypeError, ValueError) as error:
        raise ValueError(f"malformed update: {error!r:.200}") from error


def _is_small(stored: StoredObject) -> bool:
    return len(orjson.dumps(stored.spec)) < LARGE_OBJECT_BYTES


def _get_readable_spec(stored: StoredObject) -> Any:
    return None if isinstance(stored.spec, Unreadable) else stored.spec
