"""Tests of the wire protocol codecs."""
