"""Tests of the caller side of the daemon."""
