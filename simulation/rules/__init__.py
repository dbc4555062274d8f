"""The rules of the users' platform, over an event log of what clients, workers, operators and the platform saw."""
