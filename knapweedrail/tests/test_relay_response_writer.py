"""Tests of the size of the writes to a caller."""

import pytest

from ..relay.response_writer import MAX_WRITE_BYTES, ResponseWriter

pytestmark = pytest.mark.anyio

SIZES = [0, 1, MAX_WRITE_BYTES, MAX_WRITE_BYTES + 1, 5 * MAX_WRITE_BYTES]


@pytest.mark.parametrize("size", SIZES)
@pytest.mark.parametrize("streams", [False, True])
async def test_large_data_is_written_in_bounded_parts(size, streams):
    """The server buffered half of a body of 8 MiB for a caller that didn't read it."""
    messages = []

    async def send(message):
        messages.append(message)

    data = bytes(n % 251 for n in range(size))
    writer = ResponseWriter(send, lambda: False)
    if streams:
        await writer.send_chunk(200, [], data)
        assert not writer.complete
        await writer.end()
    else:
        await writer.send_whole(200, [], data)
    bodies = messages[1:]
    assert writer.complete
    assert b"".join(message["body"] for message in bodies) == data
    assert max(len(message["body"]) for message in bodies) <= MAX_WRITE_BYTES
    more = [message.get("more_body", False) for message in bodies]
    assert more == [True] * (len(bodies) - 1) + [False]
