"""Tests of magnoliafork.bench."""
