"""Tests of where work is placed: on which VM, and past which."""
