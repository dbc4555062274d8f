"""A fleet of routers for one language model: nodes route requests to workers, core machines coordinate the nodes."""
