"""Tests of the change of primary."""
