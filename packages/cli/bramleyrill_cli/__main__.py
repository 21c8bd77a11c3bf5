"""Run the command line with `python -m bramleyrill_cli`."""

from bramleyrill_cli import main

main()
