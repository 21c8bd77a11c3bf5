"""Stand-ins for members, platform and callers, for tests, benchmarks and the demo."""
