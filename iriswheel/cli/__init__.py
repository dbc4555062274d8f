"""The command line: the programs, and the tools for operators."""
