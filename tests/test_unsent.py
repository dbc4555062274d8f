"""What a transport holds of written bytes is counted from the moment of the write, by the names that Twisted uses."""

from twisted.internet import abstract

from iriswheel.transport import unsent


class Transport(abstract.FileDescriptor):
    """A transport whose operating system takes some bytes at a time."""

    def __init__(self) -> None:
        super().__init__(reactor=self)  # type: ignore[arg-type]  # it needs only the methods below
        self.connected = 1
        self.is_aborted = False

    def addWriter(self, _writer: object) -> None:  # noqa: N802 - Twisted's name
        """Take no note that there is something to write."""

    def writeSomeData(self, data: bytes) -> int:  # noqa: N802 - Twisted's name
        return min(3, len(data))

    def abortConnection(self) -> None:
        self.is_aborted = True


# Issue 52: the bytes of all writes since the last time that the system took some were not counted.
def test_bytes_count_as_unsent_from_the_write_until_the_system_has_taken_them() -> None:
    transport = Transport()
    transport.write(b"abcde")
    assert unsent.unsent_bytes(transport) == 5
    transport.doWrite()
    assert unsent.unsent_bytes(transport) == 2
    transport.write(b"fg")
    assert unsent.unsent_bytes(transport) == 4


def test_an_aborted_connection_holds_nothing() -> None:
    transport = Transport()
    transport.write(b"abcde")
    unsent.abort(transport)
    assert transport.is_aborted
    assert unsent.unsent_bytes(transport) == 0
