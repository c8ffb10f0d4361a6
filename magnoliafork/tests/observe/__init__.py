"""Tests of magnoliafork.observe."""
