#!/bin/sh
# Checks that the scripts of review 2 can start: their stand-ins are plain Python, in the folder
# common-2, and need nothing but the interpreter. The entry processes come from the build of the
# deploy file (target/deps).
set -e
cd "$(dirname "$0")/.."
python3 - <<'CHECK'
import ast, pathlib
for path in sorted(pathlib.Path("review").glob("common-2/*.py")) + [
    pathlib.Path(f"review/{number}/case.py") for number in range(6, 11)
]:
    if path.exists():
        ast.parse(path.read_text("utf-8"), str(path))
CHECK
test -d target/deps/bramleyrill_entry || { echo "run the build of the deploy file first"; exit 2; }
