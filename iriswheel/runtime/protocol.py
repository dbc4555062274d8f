"""The version of the protocol between iriswheel's processes, apart from the messages that make it up."""

PROTOCOL_VERSION = 3  # a process talks to those of its own version and of the two beside it
