"""Tests of the service-level accounting."""
