"""Run the daemon with `python -m bramleyrill_daemon`."""

from bramleyrill_daemon import main

main()
