"""A node that takes its configuration from a read-only published store."""
