"""Tests of pools."""
