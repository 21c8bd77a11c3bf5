"""Tests of planned stops and leaving members."""
