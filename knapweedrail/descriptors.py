"""How many descriptors the process may open."""

from __future__ import annotations

import resource


def read_descriptor_limit(maximum: int) -> int:
    """Return the process's own limit, or ``maximum`` if that is lower or unknown."""
    try:
        soft, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    except OSError:
        return maximum
    return maximum if soft == resource.RLIM_INFINITY else min(maximum, soft)
