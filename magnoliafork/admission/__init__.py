"""Admission at a receiver: eligibility, limits, queue and request ledger."""
