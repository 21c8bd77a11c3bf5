#!/bin/sh
# Builds the stand-ins that the scripts of this review start: the project's own, compiled beside
# the build of the deploy file. Needs no network.
set -e
cd "$(dirname "$0")/.."
rm -rf target/review-3
mkdir -p target/review-3
cp -r packages/standins/bramleyrill_standins target/review-3/
find target/review-3 -name __pycache__ -prune -exec rm -rf {} +
python3 -m compileall -q target/review-3
PYTHONPATH=target/review-3:target/deps python3 -c "import bramleyrill_standins.prepared"
