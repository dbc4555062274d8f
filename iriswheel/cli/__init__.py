"""The command line: starts cores and nodes, and holds the tools for operators."""
