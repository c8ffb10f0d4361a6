"""Tests of magnoliafork.cluster."""
