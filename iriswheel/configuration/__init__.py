"""The operators' configuration: schema, validation, differences and slices."""
