"""The operators' configuration: its schema, validation, differences, and the slices that nodes get."""
