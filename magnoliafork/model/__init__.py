"""Immutable data classes and enums shared by all other packages."""
