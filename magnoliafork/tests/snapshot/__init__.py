"""Tests of magnoliafork.snapshot."""
