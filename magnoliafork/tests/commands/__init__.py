"""Tests of magnoliafork.commands."""
