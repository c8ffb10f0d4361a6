"""Tests of magnoliafork.settings."""
