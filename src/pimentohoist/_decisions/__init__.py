"""Decision logic without input, output or a clock of its own."""
