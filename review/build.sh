#!/bin/sh
# The stand-ins and the cases are Python sources of the standard library only: nothing is to be
# built, so this checks that they can be read. The proxies are built as the deploy file says.
set -e
cd "$(dirname "$0")"
for source in common/*.py [0-9]/*.py; do
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1], encoding="utf-8").read())' "$source"
done
