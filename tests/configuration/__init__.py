"""Tests of the text and its spread."""
