"""Tests of the text and its distribution."""
