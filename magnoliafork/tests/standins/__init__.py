"""Tests of magnoliafork.standins."""
