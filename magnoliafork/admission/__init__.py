"""Limits, ramps and the at-most-once ledger of a receiver."""
