"""Tests of the statement path on the users' prepared platform."""
