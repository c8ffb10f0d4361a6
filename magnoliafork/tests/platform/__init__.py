"""Tests of the adapter to the platform, with stand-ins for it."""
