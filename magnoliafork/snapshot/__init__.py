"""Assembles snapshots and holds the one in force on a node."""
