"""Tests by exhaustive state exploration."""
