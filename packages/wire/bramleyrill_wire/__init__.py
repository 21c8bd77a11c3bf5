"""Codecs for the PostgreSQL protocol and for the thrift protocols between VMs."""
