#!/bin/sh
# Runs the script of a case in its folder: sh review/run-2.sh FOLDER.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
folder=$1
cd "$(dirname "$0")/.." || exit 2
PYTHONPATH=target/deps:target/review-2 PYTHONDONTWRITEBYTECODE=1 \
    timeout -k 2 118 python3 "review/$folder/case.py" >/dev/null
status=$?
[ "$status" -le 1 ] || status=2
exit "$status"
