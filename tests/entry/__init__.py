"""Tests of the statement path on the prepared platform."""
