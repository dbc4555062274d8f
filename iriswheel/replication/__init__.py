"""Chain replication of the configuration: log, state, snapshot transfer, storage."""
