"""Tests of the holder side and of the process."""
