"""Chunked request bodies are decoded as Twisted's decoder does, and very small chunks all at once."""

import itertools

import hypothesis
import pytest
from hypothesis import strategies
from twisted.web import http

from iriswheel.transport import chunked_body

LINES = (
    b"1\r\na\r\n",
    b"02\r\nbc\r\n",
    b"3;x=y\r\ndef\r\n",
    b"A\r\n0123456789\r\n",
    b"0\r\n\r\n",
    b"0\r\nT: v\r\n\r\n",
)
OTHERS = (b"g\r\n", b"\r\n", b"1\r\nab\r\n", b"-1\r\n", b"ffffffffff\r\n", b"1 \r\na\r\n", b"rest")


def decode(decoder_type: type[http._ChunkedTransferDecoder], received: list[bytes]) -> tuple[bytes, object]:
    """The body that a decoder delivers, and how it ended: with the rest, by its error, or not at all."""
    body: list[bytes] = []
    rest: list[bytes] = []
    decoder = decoder_type(body.append, rest.append)
    try:
        for data in received:
            decoder.dataReceived(data)
            if rest:
                break
    except http._MalformedChunkedDataError:
        return b"".join(body), http._MalformedChunkedDataError
    return b"".join(body), tuple(rest)


@hypothesis.given(
    strategies.lists(strategies.sampled_from(LINES + OTHERS), max_size=12),
    strategies.lists(strategies.integers(0, 100), max_size=6),
)
def test_bytes_are_decoded_as_by_twisted_wherever_they_are_split(lines: list[bytes], cuts: list[int]) -> None:
    whole = b"".join(lines)
    ends = [0, *sorted(cut for cut in cuts if cut < len(whole)), len(whole)]
    received = [whole[begin:end] for begin, end in itertools.pairwise(ends)]
    assert decode(chunked_body.ChunkedBodyDecoder, received) == decode(http._ChunkedTransferDecoder, received)


# Clients that do not behave: each chunk of one byte cost as much time as one of many kilobytes.
@pytest.mark.parametrize("extension", [b"", b";a=b"])
def test_small_chunks_are_delivered_at_once_wherever_the_reads_split_them(extension: bytes) -> None:
    delivered: list[bytes] = []
    decoder = chunked_body.ChunkedBodyDecoder(delivered.append, delivered.append)
    sent = (b"3" + extension + b"\r\nxyz\r\n") * 20_000
    reads = [sent[begin : begin + 65_535] for begin in range(0, len(sent), 65_535)]
    for data in reads:
        decoder.dataReceived(data)
    assert b"".join(delivered) == b"xyz" * 20_000
    assert len(delivered) <= 4 * len(reads)


@pytest.mark.parametrize("size", [1, 8, 100])
def test_the_small_chunks_of_one_read_are_delivered_at_once(size: int) -> None:
    delivered: list[bytes] = []
    decoder = chunked_body.ChunkedBodyDecoder(delivered.append, delivered.append)
    decoder.dataReceived((b"%x\r\n" % size + b"x" * size + b"\r\n") * 5_000)
    assert delivered == [b"x" * size * 5_000]
