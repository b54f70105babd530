"""Starts an entry daemon on the platform without an installed package."""

from pimentohoist.entry import main

if __name__ == '__main__':
    main()
