"""The version of the protocol between iriswheel's processes; the messages are in `iriswheel.transport.messages`."""

PROTOCOL_VERSION = 3  # a process accepts peers of its own version, the one before and the one after
