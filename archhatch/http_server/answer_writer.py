"""Writes large answers a piece at a time, as fast as their clients take them."""

from __future__ import annotations

from aiohttp.web_request import BaseRequest
from aiohttp.web_response import StreamResponse

from ..runtime import Result
from .connection import ClientConnection

LARGE_ANSWER_BYTES = 64 << 10  # up to this length an answer is written at once
PIECE_BYTES = 64 << 10


async def write_large_answer(
    request: BaseRequest, result: Result, connection: ClientConnection, is_last: bool
) -> StreamResponse:
    """Writes an answer; its memory is given back once it is written, or its client takes nothing while others wait.

    Args:
        request: The request.
        result: The answer.
        connection: The connection that it is written on.
        is_last: Whether the connection is closed after it.

    Returns:
        The response, for aiohttp to finish; of one that its client did not take the connection is closed.
    """
    response = StreamResponse(status=result.status, headers=result.head)
    response.content_length = len(result.body)
    if is_last:
        response.force_close()
        response.headers["Connection"] = "close"
    charge = result.charge
    if charge is not None:
        charge.give_way_by(connection.abort)
    body = memoryview(result.body)
    try:
        await response.prepare(request)
        for start in range(0, len(body), PIECE_BYTES):
            piece = body[start : start + PIECE_BYTES]
            await response.write(piece)
            if charge is not None:
                charge.note_bytes(len(piece))
    except ConnectionError:  # the client left
        response.force_close()
    finally:
        result.release()
    return response
