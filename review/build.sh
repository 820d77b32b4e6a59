#!/bin/sh
# Puts the stand-ins and the harness of the cases under target/review.
set -eu
cd "$(dirname "$0")/.."
rm -rf target/review
mkdir -p target/review
cp review/common/*.py tests/platform/store_standin.py tests/platform/standins.py \
    target/review/
python3 -m compileall -q target/review
