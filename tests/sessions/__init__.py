"""Tests of the sessions subsystem."""
