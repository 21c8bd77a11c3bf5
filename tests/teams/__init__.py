"""Teams: keys, limits and the work that runs under their names."""
