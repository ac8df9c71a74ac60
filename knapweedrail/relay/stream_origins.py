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
        version: Version of its software; ``None`` if that isn't known.
        runner: Its incarnation as text; empty if only the version is known.
    """

    endpoint: str
    version: str | None
    runner: str = ""

    def allows(self, runner: Runner) -> bool:
        """Return whether the stream may go on at a runner.

        What two versions write doesn't fit together, and runners don't check that. An
        incarnation never changes its version, also where that isn't known.
        """
        if str(runner.incarnation) == self.runner:
            return True
        return self.version is not None and runner.version == self.version


def make_origin(runner: Runner) -> StreamOrigin:
    """Return the origin of a stream that a runner begins."""
    return StreamOrigin(runner.endpoint, runner.version, str(runner.incarnation))
