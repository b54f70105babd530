"""Controllers: owners of the daemon's state and of the threads that keep it."""
