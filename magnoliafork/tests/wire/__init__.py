"""Tests of magnoliafork.wire."""
