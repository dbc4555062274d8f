"""The data plane: a client's request on its way through a node to a worker."""
