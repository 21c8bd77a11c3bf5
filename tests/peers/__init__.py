"""Tests of the protocol between VMs."""
