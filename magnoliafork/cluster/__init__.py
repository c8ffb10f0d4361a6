"""Membership and distribution of versions between nodes."""
