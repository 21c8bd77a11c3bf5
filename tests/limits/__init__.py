"""Tests of the limits that hold over all VMs."""
