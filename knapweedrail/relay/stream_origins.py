"""What began a stream, so that it goes on only where its events fit together.

Pure: the clock is passed in.
"""

from __future__ import annotations

import attrs

from .models import Runner


@attrs.frozen
class StreamOrigin:
    """The runner that sent the first event of a stream.

    Attributes:
        endpoint: Endpoint of the runner.
        version: Version of its software; empty if that isn't known.
        runner: Its incarnation as text; empty if only the version is known.
    """

    endpoint: str
    version: str
    runner: str = ""


def make_origin(runner: Runner) -> StreamOrigin:
    """Return the origin of a stream that a runner begins."""
    return StreamOrigin(runner.endpoint, runner.version, str(runner.incarnation))
