"""The entry daemon on the users' platform: its controllers, filters and edge."""
