"""Path of a request through sender and receiver."""
