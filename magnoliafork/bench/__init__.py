"""Measurements of the whole system on one machine with small stand-ins."""
