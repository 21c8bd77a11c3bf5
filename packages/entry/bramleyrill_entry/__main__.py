"""Entry point of `python -m bramleyrill_entry`."""

from bramleyrill_entry import main

main()
