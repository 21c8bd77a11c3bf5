#!/bin/sh
cd "$(dirname "$0")/../.." || exit 2
PYTHONPATH=target/review-3:target/deps:review/common-3 exec python3 review/11/case.py
