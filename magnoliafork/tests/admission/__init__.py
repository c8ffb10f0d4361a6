"""Tests of magnoliafork.admission."""
