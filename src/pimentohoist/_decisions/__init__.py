"""Decision logic without I/O or a clock of its own: time is passed in."""
