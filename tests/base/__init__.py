"""Tests of the utilities in bramleyrill_base."""
