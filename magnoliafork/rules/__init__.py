"""Operators' rules file: reading, checking and building."""
