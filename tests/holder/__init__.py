"""Tests of the holder side of the daemon and of its process."""
