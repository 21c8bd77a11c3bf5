"""Tests of the evidence that permits are based on."""
