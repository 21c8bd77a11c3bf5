"""Tests of the trace format and the recorded traces."""
