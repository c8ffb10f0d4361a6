"""Tests of the mesh node."""
