"""Immutable data classes shared by every part of the system."""
