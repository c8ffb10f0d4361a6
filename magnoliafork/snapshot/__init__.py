"""Assembly of snapshots and the one in force on a node."""
