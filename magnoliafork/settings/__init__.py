"""Settings of a node."""
