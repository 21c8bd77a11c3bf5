"""Package bramleyrill_wire."""
