"""Tests of magnoliafork.source."""
