"""Reads the configuration service and the instance list of the platform."""
