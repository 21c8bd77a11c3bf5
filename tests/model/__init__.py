"""Tests by exhaustive exploration."""
