"""Decoding of chunked request bodies, fast also where the chunks are very small."""

from __future__ import annotations

import re

from twisted.web import http

# The length line of a chunk, with a short plain extension or none; all other lines are left to Twisted's decoder.
PLAIN_LENGTH = re.compile(rb"([0-9a-fA-F]{1,7})(?:;[a-zA-Z0-9=;]{0,64})?\r\n")
CRLF = b"\r\n"


class ChunkedBodyDecoder(http._ChunkedTransferDecoder):
    r"""Twisted's decoder, which takes the whole plain chunks in received data in one step.

    >>> received = []
    >>> decoder = ChunkedBodyDecoder(received.append, lambda rest: received.append((rest,)))
    >>> decoder.dataReceived(b"1\r\na\r\n2\r\nbc\r\n3\r\nd")
    >>> decoder.dataReceived(b"ef\r\n0\r\n\r\nrest")
    >>> received
    [b'abc', b'd', b'ef', (b'rest',)]
    """

    def dataReceived(self, data: bytes) -> None:
        """Decode received data."""
        while data:
            if self.state == "CHUNK_LENGTH" and not self._buffer:
                rest = self._take_whole_chunks(data)
                begun_length = len(rest)
            else:
                rest = data
                begun_length = self._length_of_begun_part(data)
            super().dataReceived(rest[:begun_length])
            data = rest[begun_length:]

    def _length_of_begun_part(self, data: bytes) -> int:
        """How much of the data ends what earlier data began: a length line, or a chunk with the line end after it."""
        match self.state:
            case "CHUNK_LENGTH":
                return data.find(b"\n") + 1 or len(data)
            case "BODY":
                return self.length + len(CRLF)
            case "CRLF":
                return len(CRLF) - len(self._buffer)
        return len(data)

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
