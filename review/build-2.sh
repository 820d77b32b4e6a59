#!/bin/sh
# Puts the stand-ins and the harness of the cases 6 to 10 under target/review-2.
set -eu
cd "$(dirname "$0")/.."
folder=target/review-2
rm -rf "$folder"
mkdir -p "$folder/tests/platform" "$folder/tests/processes" "$folder/harness"
cp tests/platform/store_standin.py tests/platform/standins.py "$folder/tests/platform/"
cp tests/processes/ports.py "$folder/tests/processes/"
cp review/harness-2/*.py "$folder/harness/"
