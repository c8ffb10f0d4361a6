"""Mesh node that reads its configuration from a read-only store."""
