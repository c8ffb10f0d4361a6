"""Parsing, validation and building of the operators' rules file."""
