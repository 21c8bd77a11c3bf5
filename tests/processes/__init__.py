"""Tests with real processes under load."""
