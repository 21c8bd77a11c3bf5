"""Tests of the generic layer."""
