"""The rules of the users' platform, checked on an event log of what clients, workers and operators saw."""
