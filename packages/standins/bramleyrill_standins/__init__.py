"""Package bramleyrill_standins."""
