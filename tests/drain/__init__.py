"""Tests of drain."""
