"""Tests of the wire codecs."""
