"""Frames on a stream of bytes: each is preceded by its length, in four bytes with the most significant one first."""

from __future__ import annotations

import collections.abc

LENGTH_BYTES = 4  # size of the length before each frame


class FrameTooLargeError(Exception):
    """The other side announced a frame above the limit.

    Args:
        length: The announced length in bytes.
    """

    code = "frame_too_large"

    def __init__(self, length: int) -> None:
        super().__init__(f"A frame of {length} bytes was announced.")
        self.length = length


def encode(content: bytes) -> bytes:
    r"""Return a frame with its length.

    >>> encode(b"ab")
    b'\x00\x00\x00\x02ab'
    """
    return len(content).to_bytes(LENGTH_BYTES, "big") + content


class FrameReader:
    r"""Splits received bytes into frames, and holds the beginning of the frame that is still incomplete.

    Args:
        max_bytes: The longest frame that is accepted.

    >>> reader = FrameReader(max_bytes=10)
    >>> list(reader.read(b"\0\0\0\2ab\0\0\0\3c")), reader.held_bytes
    ([b'ab'], 5)
    >>> list(reader.read(b"de\0")), reader.held_bytes
    ([b'cde'], 1)
    """

    def __init__(self, max_bytes: int) -> None:
        self.max_bytes = max_bytes
        self._incomplete = bytearray()

    @property
    def held_bytes(self) -> int:
        """The number of received bytes of the incomplete frame."""
        return len(self._incomplete)

    def read(self, data: bytes) -> collections.abc.Iterator[bytes]:
        """Yield the frames that these bytes complete.

        Raises:
            FrameTooLargeError: The next frame is announced with more than max_bytes.
        """
        self._incomplete += data
        while (frame := self._take()) is not None:
            yield frame

    def clear(self) -> None:
        """Hold no bytes any more."""
        self._incomplete = bytearray()

    def _take(self) -> bytes | None:
        """Return the next frame and hold it no longer; None if it is still incomplete."""
        received = self._incomplete
        if len(received) < LENGTH_BYTES:
            return None
        length = int.from_bytes(received[:LENGTH_BYTES], "big")
        if length > self.max_bytes:
            raise FrameTooLargeError(length)
        end = LENGTH_BYTES + length
        if len(received) < end:
            return None
        with memoryview(received) as view:
            frame = bytes(view[LENGTH_BYTES:end])
        del received[:end]
        return frame
