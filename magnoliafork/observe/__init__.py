"""Logs, metrics, traces and the admin listener."""
