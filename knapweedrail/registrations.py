"""The registry of plug-in kinds; each module in `plugins` adds its own."""

from __future__ import annotations

import importlib
import pkgutil
from typing import Any


class Registry:
    """Named kinds of one abstract base class.

    Args:
        base: The abstract base class that every kind must derive from.
    """

    def __init__(self, base: type) -> None:
        self.base = base
        self._kinds: dict[str, type] = {}

    def add(self, name: str, kind: type) -> None:
        """Add a kind under its name.

        Raises:
            ValueError: If the kind has the wrong base or the name is taken.
        """
        if not issubclass(kind, self.base):
            raise ValueError(f"{kind.__name__} is not a {self.base.__name__}")
        if self._kinds.get(name, kind) is not kind:
            raise ValueError(f"{self.base.__name__} {name!r} stands twice")
        self._kinds[name] = kind

    def create(self, name: str, *args: Any, **kwargs: Any) -> Any:
        """Make an instance of the kind of this name.

        Raises:
            ValueError: If no kind has this name.
        """
        if name not in self._kinds:
            known = ", ".join(sorted(self._kinds))
            raise ValueError(f"no {self.base.__name__} {name!r}; known: {known}")
        return self._kinds[name](*args, **kwargs)

    def names(self) -> tuple[str, ...]:
        """Return the names of all kinds, sorted."""
        return tuple(sorted(self._kinds))


def load_plugins() -> None:
    """Import every module in `plugins` and call its ``register``."""
    package = importlib.import_module(".plugins", __package__)
    for info in pkgutil.iter_modules(package.__path__):
        module = importlib.import_module(f"{package.__name__}.{info.name}")
        module.register()
