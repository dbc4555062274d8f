"""Agreement of the core machines on the view: who votes, and the order of the chain."""
