#!/bin/sh
# Puts the gateway and the libraries that it needs under target/deps.
set -eu
libraries="types settings telemetry timers http placement gateway"
if [ ! target/deps/.installed -nt deploy/requirements.txt ]; then
    python3 -m pip install -q -U --target target/deps -r deploy/requirements.txt
    touch target/deps/.installed
fi
# Processes that run from an unchanged tree keep it.
rm -rf target/new
mkdir -p target/new
for library in $libraries; do
    cp -r "libs/$library/src/teaseldyke" target/new/
done
cp -r platform/src/teaseldyke target/new/
find target/new -name __pycache__ -prune -exec rm -rf {} +
if ! diff -rq -x __pycache__ target/new/teaseldyke target/deps/teaseldyke >/dev/null 2>&1; then
    rm -rf target/deps/teaseldyke
    mv target/new/teaseldyke target/deps/
    python3 -m compileall -q target/deps/teaseldyke
fi
rm -rf target/new
