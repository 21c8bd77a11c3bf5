"""Demo of the whole system: real proxies with stand-ins for platform, members and callers."""
