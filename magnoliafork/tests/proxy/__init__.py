"""Tests of magnoliafork.proxy."""
