"""Simulated parts of the platform: workers, each with a model of an inference engine, and the list of workers."""
