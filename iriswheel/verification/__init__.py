"""Checkers of event logs: the product's guarantees, histories, linearizability."""
