"""Decoding of chunked request bodies, fast also where the chunks are very small."""

from __future__ import annotations

import re

from twisted.web import http

# The length line of a chunk without extensions; all other lines are left to Twisted's decoder.
PLAIN_LENGTH = re.compile(rb"([0-9a-fA-F]{1,7})\r\n")
CRLF = b"\r\n"


class ChunkedBodyDecoder(http._ChunkedTransferDecoder):
    r"""Twisted's decoder, which takes the whole plain chunks at the begin of received data in one step.

    >>> received = []
    >>> decoder = ChunkedBodyDecoder(received.append, lambda rest: received.append((rest,)))
    >>> decoder.dataReceived(b"1\r\na\r\n2\r\nbc\r\n3\r\nd")
    >>> decoder.dataReceived(b"ef\r\n0\r\n\r\nrest")
    >>> received
    [b'abc', b'd', b'ef', (b'rest',)]
    """

    def dataReceived(self, data: bytes) -> None:
        """Decode received data."""
        if self.state == "CHUNK_LENGTH" and not self._buffer:
            data = self._take_whole_chunks(data)
        if data:
            super().dataReceived(data)

    def _take_whole_chunks(self, data: bytes) -> bytes:
        """Deliver the whole plain chunks at the begin of the data at once; returns the rest."""
        pieces: list[bytes] = []
        position = 0
        while (line := PLAIN_LENGTH.match(data, position)) is not None:
            length = int(line[1], 16)
            begin = line.end()
            end = begin + length
            if not length or data[end : end + len(CRLF)] != CRLF:
                break
            pieces.append(data[begin:end])
            position = end + len(CRLF)
        if pieces:
            self.dataCallback(b"".join(pieces))
        return data[position:]
