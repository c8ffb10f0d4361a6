"""Tests of magnoliafork.rules."""
