"""Checkers that judge from event logs whether a run kept the product's guarantees, among them linearizability."""
