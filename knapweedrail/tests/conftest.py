"""Settings of the whole test run."""

import pytest
from hypothesis import HealthCheck, settings

# The same examples in every run, so that a verdict never depends on the day.
settings.register_profile(
    "fixed",
    derandomize=True,
    deadline=None,
    database=None,
    suppress_health_check=[HealthCheck.too_slow],
)
settings.load_profile("fixed")


@pytest.fixture
def anyio_backend():
    """Run asynchronous tests on the event loop that the programs run on."""
    return "asyncio"
