"""Tests of magnoliafork.balance."""
