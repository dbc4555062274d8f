"""A router fleet for one language model."""
